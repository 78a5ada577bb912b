package org.verbenagauge.entry.admission

import org.verbenagauge.entry.state.document.QueueClass

/**
 * One waiting request.
 *
 * @property id identifies the request within the process; ids rise in the order of arrival.
 * @property teamId team that pays for it.
 * @property queueId queue that it was submitted to.
 * @property queueClass urgency.
 * @property startByMillis monotonic time by which it must have started.
 * @property promoteAtMillis monotonic time from which it goes ahead of ordinary work, or null for never.
 * @property expectedRunMillis run time that was expected at the arrival, for the estimate of waits.
 */
public data class WaitingRequest(
    val id: Long,
    val teamId: String,
    val queueId: String,
    val queueClass: QueueClass,
    val startByMillis: Long,
    val promoteAtMillis: Long? = null,
    val expectedRunMillis: Double = 1.0,
)

/** Strict order of service between requests; a lane goes ahead of those after it. */
internal enum class Lane {
    URGENT,
    RISEN,
    ORDINARY,
    DEFERRABLE,
    ;

    companion object {
        fun of(queueClass: QueueClass): Lane =
            when (queueClass) {
                QueueClass.URGENT -> URGENT
                QueueClass.ORDINARY -> ORDINARY
                QueueClass.DEFERRABLE -> DEFERRABLE
            }
    }
}
