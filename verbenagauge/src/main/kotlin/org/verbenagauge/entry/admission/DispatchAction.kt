package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.placement.EndpointAddress

/** What the shell must do after an event. */
public sealed interface DispatchAction {
    /** Request that the action concerns. */
    public val id: Long

    /** Send the request to [address], and tell the end of it. */
    public data class Start(
        override val id: Long,
        val address: EndpointAddress,
    ) : DispatchAction

    /** Answer the request with the answer of its last attempt that may have run, else of its last attempt. */
    public data class Deliver(
        override val id: Long,
    ) : DispatchAction

    /**
     * Answer the request with [reason], which always carries the verdict not-run.
     *
     * @property retryAfterMillis when the caller should come back.
     */
    public data class Refuse(
        override val id: Long,
        val reason: Reason,
        val retryAfterMillis: Long,
    ) : DispatchAction
}
