package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.engine.NoteKind
import org.verbenagauge.entry.logging.Event

/** Returns the log event for an engine note of [kind]. */
internal fun eventOf(kind: NoteKind): Event =
    when (kind) {
        NoteKind.JOB_TAKEN -> Event.JOB_TAKEN
        NoteKind.JOB_TOO_LARGE -> Event.JOB_TOO_LARGE
        NoteKind.JOB_ENDED -> Event.JOB_ENDED
        NoteKind.RUN_ORDERED -> Event.RUN_ORDERED
        NoteKind.RUN_ENDED -> Event.RUN_ENDED
        NoteKind.RUN_LOST -> Event.RUN_LOST
        NoteKind.RUN_STUCK -> Event.RUN_STUCK
        NoteKind.RUN_ADOPTED -> Event.RUN_ADOPTED
        NoteKind.RUN_DOUBLED -> Event.RUN_DOUBLED
        NoteKind.RUN_GIVEN_UP -> Event.RUN_GIVEN_UP
        NoteKind.RUN_WITHHELD -> Event.RUN_WITHHELD
        NoteKind.ZONE_UNKNOWN -> Event.ZONE_UNKNOWN
        NoteKind.ALL_ZONES_EVACUATED -> Event.ALL_ZONES_EVACUATED
        NoteKind.RUN_RESCUED -> Event.RUN_RESCUED
        NoteKind.START_WAITS -> Event.START_WAITS
        NoteKind.JOBS_UNREACHED -> Event.JOBS_UNREACHED
        NoteKind.ADVICE_AWAITED -> Event.ADVICE_AWAITED
        NoteKind.RUN_MOVED_OFF -> Event.RUN_MOVED_OFF
        NoteKind.RUNS_KNOWN -> Event.RUNS_KNOWN
        NoteKind.WORKER_HEARD -> Event.WORKER_HEARD
        NoteKind.WORKER_SILENT -> Event.WORKER_SILENT
        NoteKind.WORKER_AVOIDED -> Event.WORKER_AVOIDED
        NoteKind.WORKER_COLD -> Event.WORKER_COLD
        NoteKind.MACHINE_DOUBTED -> Event.MACHINE_DOUBTED
        NoteKind.MACHINE_TRUSTED -> Event.MACHINE_TRUSTED
        NoteKind.WORKER_GONE -> Event.WORKER_GONE
        NoteKind.WORKER_RESTARTED -> Event.WORKER_RESTARTED
        NoteKind.LISTING_UNREADABLE -> Event.LISTING_UNREADABLE
        NoteKind.ACCOUNT_SURPLUS -> Event.ACCOUNT_SURPLUS
        NoteKind.JOB_HOPELESS -> Event.JOB_HOPELESS
        NoteKind.QUEUE_UNKNOWN -> Event.QUEUE_UNKNOWN
        NoteKind.JOB_SERVICE_CHANGED -> Event.JOB_SERVICE_CHANGED
    }
