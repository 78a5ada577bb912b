package org.verbenagauge.entry.jobs.engine

/**
 * Logs steps that wait for permission from the advisor for more than two seconds. A step gets a line every ten seconds,
 * and all steps together at most five a second. It only observes the [Scheduler].
 */
internal class AdviceReport(
    private val state: EngineState,
) {
    private val dueAtMillis = HashMap<StepEntry, Long>()
    private var windowStartMillis = Long.MIN_VALUE / 2
    private var linesInWindow = 0

    /** Number of steps that wait for permission. */
    val waitingSteps: Int get() = dueAtMillis.size

    /** Discards steps that no longer wait for a start. */
    fun beginPass() {
        if (dueAtMillis.isEmpty()) return
        dueAtMillis.keys.removeIf { it.readyCount == 0 || state.jobs[it.occurrence.job.id] !== it.occurrence.job }
    }

    /** Records that [step] waits for permission at [now]; [detail] is called when a line is written. */
    fun record(
        step: StepEntry,
        now: Long,
        detail: () -> String,
    ) {
        if (now < dueAtMillis.getOrPut(step) { now + FIRST_LINE_MILLIS } || !mayWrite(now)) return
        dueAtMillis[step] = now + NEXT_LINE_MILLIS
        state.note(NoteKind.ADVICE_AWAITED, step.key, detail())
    }

    private fun mayWrite(now: Long): Boolean {
        if (now - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = now
            linesInWindow = 0
        }
        return linesInWindow++ < MAX_LINES_PER_SECOND
    }

    private companion object {
        const val FIRST_LINE_MILLIS = 2_000L
        const val NEXT_LINE_MILLIS = 10_000L
        const val WINDOW_MILLIS = 1_000L
        const val MAX_LINES_PER_SECOND = 5
    }
}
