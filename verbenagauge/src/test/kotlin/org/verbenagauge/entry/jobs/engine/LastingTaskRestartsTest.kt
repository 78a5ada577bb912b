package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.records.ProgressRecord

private const val JOB = "0000000000000001"

private enum class StepKind(
    val step: StepSpecification,
) {
    PLAIN(step(1)),
    GANG(step(1, isGang = true)),
    COPIED(step(1, mayRunCopies = true)),
    LASTING(step(1, isLasting = true)),
    LASTING_WITH_MINIMUM(step(2, isLasting = true, mayMiss = 1)),
}

private data class StepEndCase(
    val kind: StepKind,
    val end: EndKind,
    val isRestarted: Boolean,
)

private val endCases =
    StepKind.entries.flatMap { kind ->
        EndKind.entries.map { StepEndCase(kind, it, isRestarted = kind.step.isLasting || it != EndKind.DONE) }
    }

private fun JobEngine.startAll(now: Long): List<EngineAction.Start> =
    decide(now, 0).starts().onEach {
        handleStartOutcome(it.address.workerId, it.order, OrderOutcome.Done(now + 1_000), now)
    }

private class EndsAtOnce(
    val startCount: Int,
    val longestPauseMillis: Long,
)

/** Plays a job of one lasting task whose runs end as [kind] right after their start, [untilMillis] long. */
private fun playEndsAtOnce(
    kind: EndKind,
    untilMillis: Long,
): EndsAtOnce {
    val engine = readyEngine("w1", "w2", "w3")
    engine.accept(JOB, job(step(1, isLasting = true)), now = 0)
    val ends = HashMap<String, Long>()
    var startCount = 0
    var endedAtMillis = 0L
    var longestPauseMillis = 0L
    for (now in 0L..untilMillis step 10) {
        engine.startAll(now).forEach {
            startCount++
            longestPauseMillis = maxOf(longestPauseMillis, now - endedAtMillis)
            endedAtMillis = now
            val workerId = it.address.workerId
            val number = ends.merge(workerId, 1L, Long::plus) ?: 1L
            val ended = listOf(end(number, it.order.taskId, it.order.runId, kind))
            engine.handleListing(workerId, listing(ended = ended, clockMillis = now + 1_000), now, now)
        }
    }
    return EndsAtOnce(startCount, longestPauseMillis)
}

// Incident 015: a lasting task that ended as done never started again, and its job was shown as completed.
class LastingTaskRestartsTest :
    FunSpec({
        context("a task starts again after an end") {
            withData(nameFn = { "${it.kind}, ${it.end}" }, endCases) { case ->
                val engine = readyEngine("w1", "w2")
                engine.accept(JOB, job(case.kind.step), now = 0)
                val starts = engine.startAll(now = 0)
                val first = starts.first()
                val ended = listOf(end(1, first.order.taskId, first.order.runId, case.end))
                val others = starts.drop(1).filter { it.address == first.address }
                val running = others.map { running(it.order.taskId, it.order.runId) }
                val answer = listing(running, ended, clockMillis = 6_000)
                engine.handleListing(first.address.workerId, answer, 4_990, 5_000)
                val again = engine.startAll(now = 5_000).map { it.order.taskId }
                (first.order.taskId in again) shouldBe case.isRestarted
                (engine.state.jobs[JOB] == null) shouldBe !case.isRestarted
            }
        }

        test("a job of lasting tasks stays active when all of them have ended as done, and can be cancelled") {
            val engine = readyEngine("w1", "w2")
            engine.accept(JOB, job(step(3, isLasting = true)), now = 0)
            val ends =
                engine.startAll(now = 0).groupBy({ it.address.workerId }) { it.order }.mapValues { (_, orders) ->
                    orders.mapIndexed { i, it -> end(i + 1L, it.taskId, it.runId, EndKind.DONE) }
                }
            ends.forEach { (id, ended) -> engine.handleListing(id, listing(ended = ended), 4_990, 5_000) }
            val again = engine.startAll(now = 5_000)
            again shouldHaveSize 3
            engine.state.takeChanges(10).map { it.state } shouldBe listOf(JobState.ACTIVE)
            engine.cancel(JOB, now = 6_000) shouldBe true
            engine
                .decide(6_000, 0)
                .stops()
                .map { it.runId }
                .toSet() shouldBe again.map { it.order.runId }.toSet()
        }

        test("a step behind a lasting one does not open when that ends as done") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1, isLasting = true), step(1, dependsOn = listOf(0))), now = 0)
            val first = engine.startAll(now = 0).single().order
            val ended = listOf(end(1, first.taskId, first.runId, EndKind.DONE))
            engine.handleListing("w1", listing(ended = ended), 4_990, 5_000)
            engine.startAll(now = 5_000).map { it.order.taskId } shouldBe listOf(first.taskId)
        }

        context("progress of an earlier release does not keep lasting tasks from starting") {
            withData(
                nameFn = { it.toString() },
                ProgressRecord(doneTasks = listOf("0.0.0", "0.0.1"), failedRuns = emptyMap(), checkpoints = emptyMap()),
                ProgressRecord(doneTasks = listOf("0"), failedRuns = emptyMap(), checkpoints = emptyMap()),
                ProgressRecord(emptyList(), emptyMap(), emptyMap(), doneOccurrenceWords = listOf(1L)),
            ) { progress ->
                val engine = readyEngine("w1")
                engine.inherit(JOB, job(step(2, isLasting = true)), progress, acceptedAtMillis = 0, now = 0)
                engine.startAll(now = 10_000) shouldHaveSize 2
            }
        }

        test("a finite task beside a lasting one stays done") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1, isLasting = true), step(1)), now = 0)
            val starts = engine.startAll(now = 0)
            val ended = starts.mapIndexed { i, it -> end(i + 1L, it.order.taskId, it.order.runId, EndKind.DONE) }
            engine.handleListing("w1", listing(ended = ended), 4_990, 5_000)
            engine.startAll(now = 5_000).map { it.order.taskId.step } shouldBe listOf(0)
            val progress =
                engine.state
                    .takeChanges(10)
                    .single()
                    .progress
            progress?.doneTasks shouldBe listOf("0.1.0")
        }

        context("a lasting task whose runs end at once starts again with growing pauses") {
            withData(EndKind.DONE, EndKind.FAILED) { kind ->
                val played = playEndsAtOnce(kind, untilMillis = 30_000)
                played.startCount shouldBeLessThan 30
                played.startCount shouldBeGreaterThan 10
                // Less than the 6 s and 3 s after which such a task counts as lost.
                played.longestPauseMillis shouldBeLessThan 2_200
            }
        }

        test("a checkpoint that comes with the end done of a lasting task is not resumed from") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(1, isLasting = true)), now = 0)
            val first = engine.startAll(now = 0).single().order
            val ended = end(1, first.taskId, first.runId, EndKind.DONE).copy(checkpoint = "saved")
            engine.handleListing("w1", listing(ended = listOf(ended)), 4_990, 5_000)
            engine
                .startAll(now = 5_000)
                .single()
                .order.checkpoint shouldBe ""
        }
    })
