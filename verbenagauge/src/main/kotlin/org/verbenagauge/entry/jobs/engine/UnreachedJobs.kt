package org.verbenagauge.entry.jobs.engine

/**
 * Reports waiting jobs that the last thorough pass of the [Scheduler] left to the next one. It only observes the scheduler.
 *
 * A service gets a line once its passes have left jobs out for a second, and another one every ten seconds while they
 * do.
 */
internal class UnreachedJobs(
    private val state: EngineState,
) {
    private class Service(
        var dueAtMillis: Long,
        var pass: Long,
    ) {
        var jobs = 0
    }

    private val services = HashMap<String, Service>()
    private var pass = 0L

    /** Number of waiting jobs that the last thorough pass left to the next one. */
    val count: Int get() = services.values.filter { it.pass == pass }.sumOf { it.jobs }

    /** Begins a thorough pass over all services. */
    fun beginPass() {
        services.values.removeIf { it.pass != pass }
        pass++
    }

    /** Records that the pass at [now] left out [jobs] jobs of [serviceName], the first of which is [first]. */
    fun record(
        serviceName: String,
        jobs: Int,
        first: JobEntry,
        now: Long,
    ) {
        val service = services.getOrPut(serviceName) { Service(now + FIRST_LINE_MILLIS, pass) }
        service.pass = pass
        service.jobs = jobs
        if (now < service.dueAtMillis) return
        service.dueAtMillis = now + NEXT_LINE_MILLIS
        state.note(
            NoteKind.JOBS_UNREACHED,
            first.id,
            "service '$serviceName': a pass left out $jobs waiting jobs, the first is of queue '${first.queue.name}'",
        )
    }

    private companion object {
        const val FIRST_LINE_MILLIS = 1_000L
        const val NEXT_LINE_MILLIS = 10_000L
    }
}
