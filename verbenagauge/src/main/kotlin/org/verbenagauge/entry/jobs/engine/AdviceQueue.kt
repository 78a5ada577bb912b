package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.AdviceConfiguration

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
        val expectedMillis: Double,
    )

    private val waiting = LinkedHashSet<StepEntry>()
    private val questions = HashMap<String, Question>()
    private var expectedMillis = 0.0
    private var failures = 0
    private var failedAtMillis = Long.MIN_VALUE / 2
    private var pausedUntilMillis = Long.MIN_VALUE / 2

    /** Whether a question about [step] waits or is on its way. */
    fun isAsking(step: StepEntry): Boolean = step in waiting || step.key in questions

    /** Adds a question about [step], unless there is one. */
    fun add(step: StepEntry) {
        if (step.key !in questions) waiting += step
    }

    /**
     * Sends the questions that may be sent at [now]. [workersFor] returns the workers to ask for, at most as many as it
     * is given.
     */
    fun send(
        now: Long,
        workersFor: (step: StepEntry, maxWorkers: Int) -> List<WorkerEntry>,
    ) {
        questions.values
            .filter { now - it.askedAtMillis >= ANSWER_TIMEOUT_MILLIS }
            .forEach { handleAnswer(it.step.key, tickets = null, now) }
        if (now < pausedUntilMillis) return
        val maxQuestions = if (failures == 0) MAX_QUESTIONS else 1
        while (waiting.isNotEmpty() && questions.size < maxQuestions && expectedMillis < MAX_EXPECTED_MILLIS) {
            val step = waiting.first()
            waiting -= step
            ask(step, now, workersFor)
        }
    }

    private fun ask(
        step: StepEntry,
        now: Long,
        workersFor: (step: StepEntry, maxWorkers: Int) -> List<WorkerEntry>,
    ) {
        val job = step.occurrence.job
        val costs = job.queue.advice ?: return
        if (step.readyCount == 0 || state.jobs[job.id] !== job) return
        val workers = workersFor(step, maxWorkers(step, costs))
        if (workers.isEmpty()) return
        val expected = costs.decisionMillis + costs.perWorkerMillis * workers.size
        questions[step.key] = Question(step, workers.associate { it.id to it.listed.bornUnixMillis }, now, expected)
        expectedMillis += expected
        state.emit(EngineAction.AskAdvice(step.key, workers.map { it.id }))
    }

    private fun maxWorkers(
        step: StepEntry,
        costs: AdviceConfiguration,
    ): Int {
        val most = if (step.advice.knownCount == 0) FIRST_WORKERS else MAX_WORKERS
        if (costs.perWorkerMillis <= 0) return most
        return ((MAX_EXPECTED_MILLIS - costs.decisionMillis) / costs.perWorkerMillis).toInt().coerceIn(1, most)
    }

    /** Applies the answer [tickets] to the question about [stepKey]; null if the advisor did not answer. */
    fun handleAnswer(
        stepKey: String,
        tickets: Map<String, String>?,
        now: Long,
    ) {
        val question = questions.remove(stepKey) ?: return
        expectedMillis = if (questions.isEmpty()) 0.0 else expectedMillis - question.expectedMillis
        if (tickets == null) {
            // Questions sent before the last failure say nothing about the pause since.
            if (question.askedAtMillis <= failedAtMillis) return
            failedAtMillis = now
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

    private companion object {
        // The advisor's response time grows with the number of workers, and the first ones often suffice.
        const val FIRST_WORKERS = 30

        // The advisor takes no more.
        const val MAX_WORKERS = 100

        // The advisor rejects calls when 32 wait.
        const val MAX_QUESTIONS = 8

        // Questions are answered in turn, so those on their way take half the time limit of a call together.
        const val MAX_EXPECTED_MILLIS = 1_000.0

        // Longer than a call.
        const val ANSWER_TIMEOUT_MILLIS = 3_000L
        const val FIRST_PAUSE_MILLIS = 100L
        const val MAX_PAUSE_MILLIS = 2_000L
        const val MAX_DOUBLINGS = 5
        const val TICKET_MARGIN_MILLIS = 500L
    }
}
