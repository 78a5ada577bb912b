package org.verbenagauge.entry.logging

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.ThreadContext

/**
 * Numbered log event; the catalogue is docs/EVENTS.md.
 *
 * @property number stable number of the event.
 * @property level level of the event.
 */
public enum class Event(
    public val number: Int,
    public val level: Level,
) {
    ENTRY_STARTED(1001, Level.INFO),
    ENTRY_STOPPING(1002, Level.INFO),
    ENTRY_STOPPED(1003, Level.INFO),
    SETTINGS_INVALID(1004, Level.ERROR),
    LINES_LEFT_OUT(1008, Level.WARN),
    CHILD_RESTARTED(1005, Level.ERROR),
    TLS_LOADED(1006, Level.INFO),
    TLS_INVALID(1007, Level.ERROR),
    UNEXPECTED_FAILURE(1009, Level.ERROR),
    CONFIGURATION_IN_FORCE(2001, Level.INFO),
    PLATFORM_UNAVAILABLE(2002, Level.WARN),
    PLATFORM_AVAILABLE(2003, Level.INFO),
    CHANGE_REFUSED(2004, Level.ERROR),
    MEMBER_REMOVED(2005, Level.WARN),
    STORE_WRITE_REJECTED(2006, Level.ERROR),
    PEER_CONNECTED(2010, Level.INFO),
    PEER_DISCONNECTED(2011, Level.WARN),
    PEER_REFUSED(2012, Level.WARN),
    RIGHTS_PROPOSED(4001, Level.INFO),
    ACCOUNT_ROOM_FREE(6001, Level.INFO),
    ACCOUNT_ROOM_SCARCE(6002, Level.WARN),
    ACCOUNT_ROOM_GONE(6003, Level.ERROR),
    ACCOUNT_CONFLICT(6004, Level.ERROR),
    ACCOUNT_LOST(6005, Level.ERROR),
    OPERATOR_CHANGE_ACCEPTED(6101, Level.INFO),
    OPERATOR_CHANGE_REFUSED(6102, Level.INFO),
    ENDPOINT_EJECTED(3001, Level.WARN),
    ENDPOINT_RESTORED(3002, Level.INFO),
    ENDPOINT_DRAINING(3003, Level.INFO),
    EJECTION_BUDGET_EXHAUSTED(3004, Level.ERROR),
    JOB_FAILS_EVERYWHERE(3005, Level.WARN),
    CLAIM_NOT_SETTLED(4101, Level.WARN),
    FLEET_STEP(5001, Level.INFO),
    INSTANCE_LOST(5002, Level.ERROR),
    WAVE_HELD(5003, Level.WARN),
    WAVE_RESUMED(5004, Level.INFO),
    FLEET_EDIT_REFUSED(5005, Level.WARN),
    INSTANCE_ACTION_FAILED(5006, Level.WARN),
    OWNERSHIP_TAKEN(7001, Level.INFO),
    OWNERSHIP_LOST(7002, Level.WARN),
    OWNERSHIP_NOT_TAKEN(7003, Level.INFO),
    JOBS_INHERITED(7004, Level.INFO),
    RUNS_KNOWN(7005, Level.INFO),
    INHERITANCE_DELAYED(7006, Level.WARN),
    JOB_TAKEN(7010, Level.INFO),
    JOB_ENDED(7011, Level.INFO),
    JOB_ANSWERED(7012, Level.INFO),
    JOB_TOO_LARGE(7013, Level.ERROR),
    JOBS_REFUSED(7014, Level.INFO),
    ACCOUNT_SURPLUS(7016, Level.INFO),
    JOB_HOPELESS(7015, Level.WARN),
    QUEUE_UNKNOWN(7017, Level.WARN),
    JOB_SERVICE_CHANGED(7018, Level.INFO),
    JOBS_UNREACHED(7019, Level.WARN),
    RUN_ORDERED(7020, Level.INFO),
    RUN_ENDED(7021, Level.INFO),
    RUN_LOST(7022, Level.WARN),
    RUN_STUCK(7023, Level.WARN),
    RUN_ADOPTED(7024, Level.INFO),
    RUN_DOUBLED(7025, Level.WARN),
    RUN_GIVEN_UP(7026, Level.INFO),
    RUN_WITHHELD(7027, Level.INFO),
    RUN_RESCUED(7028, Level.INFO),
    START_WAITS(7029, Level.INFO),
    WORKER_AVOIDED(7030, Level.WARN),
    WORKER_HEARD(7033, Level.INFO),
    WORKER_GONE(7031, Level.INFO),
    WORKER_RESTARTED(7032, Level.WARN),
    LISTING_UNREADABLE(7034, Level.WARN),
    WORKER_COLD(7035, Level.INFO),
    RUN_MOVED_OFF(7036, Level.INFO),
    MACHINE_DOUBTED(7037, Level.WARN),
    MACHINE_TRUSTED(7038, Level.INFO),
    WORKER_SILENT(7039, Level.WARN),
    SETTINGS_RELOADED(7040, Level.INFO),
    DOCUMENT_UNREADABLE(7041, Level.WARN),
    ADVICE_AWAITED(7042, Level.INFO),
    ORDERS_UNANSWERED(7043, Level.WARN),
    WAVE_STEP(7050, Level.INFO),
    WAVE_REPORTED(7051, Level.INFO),
    MACHINE_MOVED(7052, Level.INFO),
    ZONE_EVACUATED(7060, Level.WARN),
    ZONE_RETURNED(7061, Level.INFO),
    ZONE_UNKNOWN(7062, Level.WARN),
    ALL_ZONES_EVACUATED(7063, Level.ERROR),
}

/**
 * Writes numbered events as structured JSON to standard output. Never blocks: lines that find no room are counted.
 *
 * @param onEvent is told each event, whether its line is written or left out.
 */
public class EventLog(
    private val entryId: String,
    private val onEvent: (Event) -> Unit = {},
) {
    private val logger = LogManager.getLogger("verbenagauge")
    private val queue = LogQueue(::print).also { it.start() }

    /** Writes [event] with a sentence that names the thing it concerns. */
    public fun write(
        event: Event,
        message: String,
    ) {
        write(event, subject = "", message)
    }

    /** Writes [event] with a sentence about [subject], the request, job, run, worker or machine that it concerns. */
    public fun write(
        event: Event,
        subject: String,
        message: String,
    ) {
        onEvent(event)
        if (logger.isEnabled(event.level)) queue.offer(LogLine(event, message, subject))
    }

    /** Writes the lines that wait. */
    public fun flush() {
        queue.flush()
    }

    private fun print(line: LogLine) {
        ThreadContext.put("event", line.event.number.toString())
        ThreadContext.put("name", line.event.name)
        ThreadContext.put("entry", entryId)
        if (line.subject.isNotEmpty()) ThreadContext.put("subject", line.subject)
        try {
            logger.log(line.event.level, line.message)
        } finally {
            ThreadContext.clearMap()
        }
    }
}
