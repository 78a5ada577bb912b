package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.OrderOutcome

private const val JOB = "0000000000000001"
private val task = TaskId(JOB, 0, 0, 0)

/** Engine with one worker in zone a and, if [hasOther], one in zone b. */
private fun engine(hasOther: Boolean = true): JobEngine {
    val engine = readyEngine()
    engine.join("w1", "a")
    if (hasOther) engine.join("w2", "b")
    return engine
}

private fun JobEngine.join(
    workerId: String,
    zoneId: String,
    now: Long = 0,
) {
    addRecordedWorker(worker(workerId).copy(zoneId = zoneId), now)
    handleListing(workerId, listing(), sentAtMillis = now, now = now)
}

private fun List<EngineAction>.notes(kind: NoteKind) =
    filterIsInstance<EngineAction.Note>().filter { it.note.kind == kind }.map { it.note.subject }

private data class KindCase(
    val name: String,
    val step: StepSpecification,
    val starts: Int,
)

private data class LogCase(
    val name: String,
    val zoneIds: Set<String>,
    val kind: NoteKind,
    val subject: String,
    val starts: Int,
)

class EvacuationTest :
    FunSpec({
        context("while zone a is evacuated, no run starts on its worker") {
            withData(
                nameFn = { it.name },
                KindCase("tasks use the other zone", step(6), starts = 4),
                KindCase("a gang that fits into the other zone starts there", step(4, isGang = true), starts = 4),
                KindCase("a gang that needs both zones waits", step(6, isGang = true), starts = 0),
                KindCase("lasting tasks use the other zone", step(6, isLasting = true), starts = 4),
                KindCase("tasks that may not share a worker use the other zone", step(2, maxPerWorker = 1), starts = 1),
            ) { case ->
                val engine = engine()
                engine.evacuate(setOf("a"), now = 0)
                engine.accept(JOB, job(case.step), now = 0)
                val starts = engine.decide(0, 0).starts()
                starts shouldHaveSize case.starts
                starts.map { it.address.workerId }.toSet() shouldBe if (case.starts == 0) emptySet() else setOf("w2")
                engine.evacuate(emptySet(), now = 100)
                engine.react(100).starts() shouldHaveSize case.step.taskCount - case.starts
            }
        }

        test("no run starts on a new worker of an evacuated zone; a worker without a known zone accepts runs") {
            val engine = engine(hasOther = false)
            engine.evacuate(setOf("a"), now = 0)
            engine.accept(JOB, job(step(1)), now = 0)
            engine.join("w3", "a", now = 10)
            engine.decide(10, 0).starts().shouldBeEmpty()
            engine.join("w4", "", now = 20)
            engine
                .decide(20, 0)
                .starts()
                .single()
                .address.workerId shouldBe "w4"
        }

        test("a copy of a run is not placed in an evacuated zone") {
            val engine = engine()
            engine.evacuate(setOf("a"), now = 0)
            engine.accept(JOB, job(step(1, mayRunCopies = true)), now = 0)
            engine.decide(0, 0).starts() shouldHaveSize 1
            engine.decide(1_000, 0).starts().shouldBeEmpty()
            engine.evacuate(emptySet(), now = 1_000)
            engine.decide(1_010, 0).starts() shouldHaveSize 1
        }

        test("runs in an evacuated zone continue with renewed leases and complete") {
            val engine = engine(hasOther = false)
            engine.accept(JOB, job(step(1)), now = 0)
            val order =
                engine
                    .decide(0, 0)
                    .starts()
                    .single()
                    .order
            engine.handleStartOutcome("w1", order, OrderOutcome.Done(1_010), now = 10)
            engine.evacuate(setOf("a"), now = 20)
            engine.decide(2_000, 0).stops().shouldBeEmpty()
            engine.renewal("w1", 1_000, isProven = true, now = 2_000)?.leaseUntilWorkerMillis shouldNotBe null
            engine.handleListing("w1", listing(ended = listOf(end(1, task, order.runId, EndKind.DONE))), 2_000, 2_010)
            engine.state
                .takeChanges(1)
                .single()
                .state shouldBe JobState.COMPLETED
        }

        context("an unanswered order is not sent again once its zone is evacuated") {
            withData(nameFn = {
                if (it) "a listed run continues" else "a run that is not listed is stopped and starts elsewhere"
            }, true, false) { isListed ->
                val engine = engine(hasOther = false)
                engine.accept(JOB, job(step(1)), now = 0)
                val start = engine.decide(0, 0).starts().single()
                val runId = start.order.runId
                engine.join("w2", "b", now = 100)
                engine.evacuate(setOf("a"), now = 400)
                engine.handleStartOutcome("w1", start.order, OrderOutcome.Unanswered("lost"), now = 500)
                engine.react(500).starts().shouldBeEmpty()
                val listedRuns = if (isListed) listOf(running(task, runId)) else emptyList()
                engine.handleListing("w1", listing(running = listedRuns, clockMillis = 1_900), 600, 1_600)
                // The listing proves nothing: the order may be executed later.
                engine.decide(1_700, 0).starts().shouldBeEmpty()
                engine.decide(2_100, 0).stops().map { it.runId } shouldBe if (isListed) emptyList() else listOf(runId)
                if (isListed) return@withData
                engine.handleStopOutcome("w1", task, runId, OrderOutcome.Done(2_110), now = 2_110)
                engine.handleListing("w1", listing(clockMillis = 2_200), 2_120, 2_200)
                engine
                    .react(2_200)
                    .starts()
                    .single()
                    .address.workerId shouldBe "w2"
            }
        }

        test("a start that was decided but not sent moves to another zone at once") {
            val engine = engine(hasOther = false)
            engine.accept(JOB, job(step(1)), now = 0)
            val start = engine.decide(0, 0).starts().single()
            engine.join("w2", "b", now = 0)
            engine.evacuate(setOf("a"), now = 1)
            engine.isEvacuated("w1") shouldBe true
            engine.handleStartOutcome("w1", start.order, OrderOutcome.NotSent("evacuated"), now = 2)
            engine
                .react(2)
                .starts()
                .single()
                .address.workerId shouldBe "w2"
        }

        context("the log reports once") {
            withData(
                nameFn = { it.name },
                LogCase("a zone that no worker is listed in", setOf("c"), NoteKind.ZONE_UNKNOWN, "c", starts = 1),
                LogCase("that all zones are evacuated", setOf("a", "b"), NoteKind.ALL_ZONES_EVACUATED, "a, b", 0),
            ) { case ->
                val engine = engine()
                engine.evacuate(case.zoneIds, now = 0)
                engine.accept(JOB, job(step(1)), now = 0)
                val first = engine.decide(0, 0)
                first.notes(case.kind) shouldContain case.subject
                first.starts() shouldHaveSize case.starts
                engine.evacuate(case.zoneIds, now = 60)
                engine.decide(60, 0).notes(case.kind).shouldBeEmpty()
            }
        }
    })
