package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.TaskId

private const val JOB = "0000000000000001"
private const val PASS_MILLIS = 100L
private val task = TaskId(JOB, 0, 0, 0)

private data class WaitCase(
    val name: String,
    val line: String,
    val waitingForEarlierRuns: Long,
    val engine: () -> JobEngine,
    val release: (JobEngine) -> Unit,
    val order: String,
)

/** Second owner with a lasting job, "w1", which has answered, and "w2", which is silent; both have a stored row. */
private fun besideSilentWorker(): JobEngine {
    val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
    engine.configure(configuration())
    engine.state.isWorkerListKnown = true
    listOf("w1", "w2").forEach { engine.addInheritedWorker(worker(it), now = 0) }
    engine.handleListing("w1", listing(), sentAtMillis = 0, now = 0)
    engine.inherit(JOB, job(step(1, isLasting = true)), progress = null, acceptedAtMillis = 0, now = 0)
    return engine
}

/** Engine whose only worker has 1,000 thousandths of a core less than a lasting job needs. */
private fun besideFullWorker(): JobEngine {
    val engine = readyEngine("w1")
    engine.accept(JOB, job(step(1, cpuMillis = 5_000, isLasting = true)), now = 0)
    return engine
}

private fun atLimit(): JobEngine {
    val engine = readyEngine("w1", limit = Amount(500, 100_000))
    engine.accept(JOB, job(step(1, isLasting = true)), now = 0)
    return engine
}

private fun JobEngine.decideUntil(
    fromMillis: Long,
    untilMillis: Long,
) = (fromMillis..untilMillis step PASS_MILLIS).flatMap { decide(it, 0) }

private fun List<EngineAction>.notes(kind: NoteKind) =
    filterIsInstance<EngineAction.Note>().map { it.note }.filter { it.kind == kind }

class StartWaitsTest :
    FunSpec({
        context(
            "a lasting task that waits for a second gets one line that tells for what, and its order tells the wait",
        ) {
            withData(
                nameFn = { it.name },
                WaitCase(
                    name = "for a silent worker of the earlier owner",
                    line =
                        "EARLIER_RUNS, waited 1000 ms, not reported w2 (no answer since 1000 ms), " +
                            "all leases expire in 6922 ms",
                    waitingForEarlierRuns = 1,
                    engine = ::besideSilentWorker,
                    release = { it.handleListing("w2", listing(), 2_950, 3_000) },
                    order = "waited 3000 ms, of which 3000 ms for earlier runs, ",
                ),
                WaitCase(
                    name = "for room",
                    line = "CAPACITY, waited 1000 ms, 1 workers, 1 usable, 0 with room",
                    waitingForEarlierRuns = 0,
                    engine = ::besideFullWorker,
                    release = {
                        it.addRecordedWorker(worker("w2", cpuMillis = 8_000), now = 3_000)
                        it.handleListing("w2", listing(), 2_950, 3_000)
                    },
                    order = "waited 3000 ms, no run is known",
                ),
                WaitCase(
                    name = "for the limit of its team",
                    line = "LIMIT, waited 1000 ms, 1 workers, 1 usable, 1 with room",
                    waitingForEarlierRuns = 0,
                    engine = ::atLimit,
                    release = { it.configure(configuration().copy(version = 2), now = 3_000) },
                    order = "waited 3000 ms, no run is known",
                ),
            ) { case ->
                val engine = case.engine()
                engine.decideUntil(0, 900).notes(NoteKind.START_WAITS).shouldBeEmpty()
                val note = engine.decideUntil(1_000, 2_900).notes(NoteKind.START_WAITS).single()
                note.subject shouldBe task.toString()
                note.detail shouldBe case.line
                engine.tasksWaitingForEarlierRuns shouldBe case.waitingForEarlierRuns
                case.release(engine)
                val order = engine.decide(3_000, 0).notes(NoteKind.RUN_ORDERED).single()
                order.detail shouldContain case.order
                engine.tasksWaitingForEarlierRuns shouldBe 0
            }
        }

        test("a worker that stays silent until all leases have expired is told by the line and the order") {
            val engine = besideSilentWorker()
            val actions = engine.decideUntil(0, 8_000)
            actions.notes(NoteKind.START_WAITS) shouldHaveSize 1
            val order = actions.notes(NoteKind.RUN_ORDERED).single()
            order.detail shouldContain "waited 8000 ms, of which 8000 ms for earlier runs"
        }

        test("a change of the reason gets a line, and the order tells which part of the wait was for earlier runs") {
            val engine = besideSilentWorker()
            val filler = "0000000000000002"
            engine.inherit(filler, job(step(2, cpuMillis = 4_000)), progress = null, acceptedAtMillis = 0, now = 0)
            engine
                .decideUntil(0, 1_900)
                .notes(NoteKind.START_WAITS)
                .single()
                .detail shouldContain "EARLIER_RUNS"
            val found =
                (0..1).map { running(TaskId(filler, 0, 0, it), runId = 7L + it) }
            engine.handleListing("w1", listing(found.take(1)), 1_950, 1_960)
            engine.handleListing("w2", listing(found.drop(1)), 1_950, 2_000)
            val later = engine.decideUntil(2_000, 3_900)
            later.starts().shouldBeEmpty()
            later.notes(NoteKind.START_WAITS).single().detail shouldContain "CAPACITY, waited 2000 ms"
            engine.addRecordedWorker(worker("w3"), now = 4_000)
            engine.handleListing("w3", listing(), 3_950, 4_000)
            val order = engine.decide(4_000, 0).notes(NoteKind.RUN_ORDERED).single()
            order.detail shouldContain "waited 4000 ms, of which 2000 ms for earlier runs"
        }

        test("a task that no worker may take gets a line that tells the room that there is") {
            val engine = readyEngine("w1")
            engine.accept(JOB, job(step(2, isLasting = true, maxPerWorker = 1)), now = 0)
            engine.decide(0, 0).starts() shouldHaveSize 1
            val note = engine.decideUntil(100, 2_900).notes(NoteKind.START_WAITS).single()
            note.detail shouldBe "NO_ELIGIBLE_WORKER, waited 1000 ms, 1 workers, 1 usable, 1 with room"
        }

        test("a task that does not last gets no line, and is counted while it waits for earlier runs") {
            val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
            engine.configure(configuration())
            engine.state.isWorkerListKnown = true
            engine.addInheritedWorker(worker("w1"), now = 0)
            engine.inherit(JOB, job(step(4)), progress = null, acceptedAtMillis = 0, now = 0)
            engine.decideUntil(0, 3_000).notes(NoteKind.START_WAITS).shouldBeEmpty()
            engine.tasksWaitingForEarlierRuns shouldBe 4
        }

        test("many jobs that wait get a bounded number of lines a second, and each one in the end") {
            val engine = besideSilentWorker()
            val jobIds = (10..29).map { "00000000000000$it" }
            val record = job(step(1, isLasting = true))
            jobIds.forEach { engine.inherit(it, record, progress = null, acceptedAtMillis = 0, now = 0) }
            engine.decideUntil(0, 1_900).notes(NoteKind.START_WAITS) shouldHaveSize StartWaits.MAX_LINES_PER_SECOND
            val rest = engine.decideUntil(2_000, 6_000).notes(NoteKind.START_WAITS)
            rest shouldHaveSize jobIds.size + 1 - StartWaits.MAX_LINES_PER_SECOND
            rest.forEach { it.detail shouldNotContain "CAPACITY" }
        }
    })
