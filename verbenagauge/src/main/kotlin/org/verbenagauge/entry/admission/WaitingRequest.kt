package org.verbenagauge.entry.admission

import org.verbenagauge.entry.state.document.QueueClass

/**
 * A waiting request.
 *
 * @property id identifies the request within the process; ids increase in the order of arrival.
 * @property teamId team that is charged for the request.
 * @property startByMillis monotonic time by which it must have started.
 * @property promoteAtMillis monotonic time from which it is served before ordinary requests, or null for never.
 * @property expectedRunMillis run time expected at the arrival, used to estimate wait times.
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

/** Priority lanes in the order of service: requests of a lane are served before those of the lanes after it. */
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
