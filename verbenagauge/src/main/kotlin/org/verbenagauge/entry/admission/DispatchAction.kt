package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.placement.EndpointAddress

/** Action that the caller of [Dispatcher] must perform after an event. */
public sealed interface DispatchAction {
    /** Request that the action concerns. */
    public val id: Long

    /** Send the request to [address] and report the end of the attempt with [Dispatcher.attemptEnded]. */
    public data class Start(
        override val id: Long,
        val address: EndpointAddress,
    ) : DispatchAction

    /**
     * Answer the request with the answer of its last attempt that ran or may have run. If there is none, answer with
     * that of its last attempt.
     */
    public data class Deliver(
        override val id: Long,
    ) : DispatchAction

    /**
     * Refuse the request with [reason], whose verdict is always not-run.
     *
     * @property retryAfterMillis time after which the caller should try again.
     */
    public data class Refuse(
        override val id: Long,
        val reason: Reason,
        val retryAfterMillis: Long,
    ) : DispatchAction
}
