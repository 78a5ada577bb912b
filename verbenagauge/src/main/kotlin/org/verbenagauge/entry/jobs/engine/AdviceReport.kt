package org.verbenagauge.entry.jobs.engine

/**
 * Logs steps that wait for permission from the advisor for more than two seconds. A step gets a line every ten seconds,
 * and all steps together at most five a second. It only observes the [Scheduler].
 */
internal class AdviceReport(
    private val state: EngineState,
) {
    private class Wait(
        var dueAtMillis: Long,
    ) {
        var seenAtMillis = 0L
    }

    private val waitByStep = HashMap<StepEntry, Wait>()
    private val lines = LineLimiter(MAX_LINES_PER_SECOND)

    /** Number of steps that wait for permission. */
    val waitingSteps: Int get() = waitByStep.size

    /** Begins a pass at [now]; discards steps that no longer wait for permission. */
    fun beginPass(now: Long) {
        if (waitByStep.isEmpty()) return
        waitByStep.entries.removeIf { (step, wait) -> step.readyCount == 0 || now - wait.seenAtMillis > SEEN_MILLIS }
    }

    /** Records that [step] waits for permission at [now]; [detail] is called when a line is written. */
    fun record(
        step: StepEntry,
        now: Long,
        detail: () -> String,
    ) {
        val wait = waitByStep.getOrPut(step) { Wait(now + FIRST_LINE_MILLIS) }
        wait.seenAtMillis = now
        if (now < wait.dueAtMillis || !lines.takeLine(now)) return
        wait.dueAtMillis = now + NEXT_LINE_MILLIS
        state.note(NoteKind.ADVICE_AWAITED, step.key, detail())
    }

    private companion object {
        // Passes visit a waiting step at least this often.
        const val SEEN_MILLIS = 2_000L
        const val FIRST_LINE_MILLIS = 2_000L
        const val NEXT_LINE_MILLIS = 10_000L
        const val MAX_LINES_PER_SECOND = 5
    }
}
