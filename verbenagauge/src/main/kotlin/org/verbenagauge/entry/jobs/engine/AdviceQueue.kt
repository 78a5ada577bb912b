package org.verbenagauge.entry.jobs.engine

/**
 * Questions to the advisor, which answers one at a time: steps are served in turn, the one that has waited for longest
 * first, with a bounded number of questions on their way. After a question without an answer none is sent for a while.
 */
internal class AdviceQueue(
    private val state: EngineState,
) {
    private class Question(
        val step: StepEntry,
        val asked: Map<String, Long>,
        val askedAtMillis: Long,
    )

    private val waiting = LinkedHashSet<StepEntry>()
    private val questions = HashMap<String, Question>()
    private var failures = 0
    private var pausedUntilMillis = Long.MIN_VALUE / 2

    /** Whether a question about [step] waits or is on its way. */
    fun isAsking(step: StepEntry): Boolean = step in waiting || step.key in questions

    /** Adds a question about [step], unless there is one. */
    fun add(step: StepEntry) {
        if (step.key !in questions) waiting += step
    }

    /**
     * Sends the questions that may be sent at [now]. [workersFor] returns the workers to ask for, at most
     * [MAX_WORKERS].
     */
    fun send(
        now: Long,
        workersFor: (StepEntry) -> List<WorkerEntry>,
    ) {
        questions.values
            .filter { now - it.askedAtMillis >= ANSWER_TIMEOUT_MILLIS }
            .forEach { handleAnswer(it.step.key, tickets = null, now) }
        if (now < pausedUntilMillis) return
        val maxQuestions = if (failures == 0) MAX_QUESTIONS else 1
        while (waiting.isNotEmpty() && questions.size < maxQuestions) {
            val step = waiting.first()
            waiting -= step
            val isOpen = step.readyCount > 0 && state.jobs[step.occurrence.job.id] === step.occurrence.job
            val workers = if (isOpen) workersFor(step) else emptyList()
            if (workers.isEmpty()) continue
            questions[step.key] = Question(step, workers.associate { it.id to it.listed.bornUnixMillis }, now)
            state.emit(EngineAction.AskAdvice(step.key, workers.map { it.id }))
        }
    }

    /** Applies the answer [tickets] to the question about [stepKey]; null if the advisor did not answer. */
    fun handleAnswer(
        stepKey: String,
        tickets: Map<String, String>?,
        now: Long,
    ) {
        val question = questions.remove(stepKey) ?: return
        if (tickets == null) {
            val pauseMillis = minOf(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS shl minOf(failures, MAX_DOUBLINGS))
            failures++
            pausedUntilMillis = now + pauseMillis
            return
        }
        failures = 0
        val validityMillis =
            question.step.occurrence.job.queue.advice
                ?.validityMillis ?: return
        val marginMillis = minOf(TICKET_MARGIN_MILLIS, validityMillis / 2)
        question.step.advice.retain(state.workers.keys)
        question.step.advice.record(question.asked, tickets, now + validityMillis - marginMillis)
    }

    internal companion object {
        /** Number of workers in the first question about a step; the advisor's response time grows with it. */
        const val FIRST_WORKERS = 30

        /** Highest number of workers in a question; the advisor takes no more. */
        const val MAX_WORKERS = 100

        /** Highest number of questions on their way. The advisor answers in turn and rejects calls when 32 wait. */
        const val MAX_QUESTIONS = 8

        // Longer than a call.
        private const val ANSWER_TIMEOUT_MILLIS = 3_000L
        private const val FIRST_PAUSE_MILLIS = 100L
        private const val MAX_PAUSE_MILLIS = 2_000L
        private const val MAX_DOUBLINGS = 5
        private const val TICKET_MARGIN_MILLIS = 500L
    }
}
