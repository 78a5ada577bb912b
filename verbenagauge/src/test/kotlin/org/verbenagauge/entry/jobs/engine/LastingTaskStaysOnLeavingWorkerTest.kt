package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.OrderOutcome

private const val JOB = "0000000000000001"
private const val LEAVES_AT_MILLIS = 3_000L
private val task = TaskId(JOB, 0, 0, 0)
private val lasting = step(1, isLasting = true)

private data class MoveCase(
    val name: String,
    val step: StepSpecification = lasting,
    /** Workers that join once the tasks run. */
    val others: List<ListedWorker> = listOf(worker("w2")),
    val before: JobEngine.() -> Unit = {},
    val stops: Int = 0,
)

private fun JobEngine.join(
    worker: ListedWorker,
    now: Long,
) {
    addRecordedWorker(worker, now)
    handleListing(worker.address.workerId, listing(clockMillis = now), now, now)
}

/** Lists the runs of [workerId], all of which are operational. */
private fun JobEngine.listRuns(
    workerId: String,
    now: Long,
    percent: Int = 100,
) {
    val runs =
        state.workers
            .getValue(workerId)
            .runs.values
            .map { running(it.taskId, it.runId, percent) }
    handleListing(workerId, listing(running = runs, clockMillis = now), now - 10, now)
}

private fun JobEngine.leave(workerId: String) {
    upsertWorker(
        state.workers
            .getValue(workerId)
            .listed
            .copy(isReady = false),
        LEAVES_AT_MILLIS,
    )
}

private fun JobEngine.confirm(
    starts: List<EngineAction.Start>,
    now: Long,
) = starts.forEach { handleStartOutcome(it.address.workerId, it.order, OrderOutcome.Done(now), now) }

/** Engine whose tasks of [step] run on the workers [workerIds] and are operational. */
private fun engineWith(
    step: StepSpecification,
    vararg workerIds: String,
): JobEngine {
    val engine = readyEngine(*workerIds)
    engine.accept(JOB, job(step), now = 0)
    engine.confirm(engine.decide(0, 0).starts(), now = 5)
    workerIds.forEach { engine.listRuns(it, LEAVES_AT_MILLIS - 20) }
    engine.decide(LEAVES_AT_MILLIS - 20, 0)
    return engine
}

private fun JobEngine.decidedStops(
    fromMillis: Long,
    toMillis: Long,
): List<EngineAction.Stop> = (fromMillis..toMillis step 60L).flatMap { decide(it, 0).stops() }

class LastingTaskStaysOnLeavingWorkerTest :
    FunSpec({
        context("a lasting run on a worker that leaves is stopped") {
            withData(
                nameFn = { it.name },
                MoveCase("if another worker has room", stops = 1),
                MoveCase("not if there is no other worker", others = emptyList()),
                MoveCase("not if the other worker has no room", others = listOf(worker("w2", cpuMillis = 500))),
                MoveCase("not if the other worker leaves, too", others = listOf(worker("w2").copy(isReady = false))),
                MoveCase(
                    "not if the other worker lacks the label",
                    step = lasting.copy(requiredLabel = "a"),
                    others = listOf(worker("w2").copy(labels = emptySet())),
                ),
                MoveCase("not if the other worker's zone is evacuated", before = {
                    upsertWorker(worker("w2").copy(zoneId = "x"), LEAVES_AT_MILLIS)
                    evacuate(setOf("x"), LEAVES_AT_MILLIS)
                }),
                MoveCase("not if the other worker is kept free", before = {
                    state.workers.getValue("w2").reservations += "wave"
                }),
                MoveCase("not if runs fail on the other worker", before = {
                    state.workers.getValue("w2").avoidUntilMillis = LEAVES_AT_MILLIS + 4_000
                }),
                MoveCase("not if the other worker does not answer", before = {
                    handleListing("w2", ListingOutcome.Failed("silent"), LEAVES_AT_MILLIS, LEAVES_AT_MILLIS)
                }),
                MoveCase("one at a time if the step allows no number", step(3, isLasting = true), stops = 1),
                MoveCase("one at a time if the step allows none", step(3, isLasting = true, mayMiss = 0), stops = 1),
                MoveCase("two at a time if the step allows two", step(3, isLasting = true, mayMiss = 2), stops = 2),
                MoveCase(
                    "no more than find room",
                    step(3, isLasting = true, mayMiss = 3),
                    others = listOf(worker("w2", cpuMillis = 1_500)),
                    stops = 1,
                ),
                MoveCase("not if its task does not last", step(1)),
                MoveCase("not if it belongs to a gang", step(2, isLasting = true, isGang = true, mayMiss = 2)),
                MoveCase("not if its queue needs advice", before = { configure(advisedConfiguration()) }),
                MoveCase("not if the list lacks its worker", before = { unlist("w1", LEAVES_AT_MILLIS) }),
                MoveCase("not if its worker does not answer", before = {
                    handleListing("w1", ListingOutcome.Failed("silent"), LEAVES_AT_MILLIS, LEAVES_AT_MILLIS)
                }),
                MoveCase("not while the owner's lease is uncertain", before = { mayStart = false }),
            ) { case ->
                val engine = engineWith(case.step, "w1")
                case.others.forEach { engine.join(it, LEAVES_AT_MILLIS) }
                engine.leave("w1")
                case.before(engine)
                val stops = engine.decidedStops(LEAVES_AT_MILLIS, LEAVES_AT_MILLIS + 300)
                stops shouldHaveSize case.stops
                stops.map { it.runId }.toSet() shouldHaveSize case.stops
                stops.all { it.address.workerId == "w1" } shouldBe true
            }
        }

        test("a run on a worker that stays is not stopped") {
            val engine = engineWith(lasting, "w1")
            engine.join(worker("w2"), LEAVES_AT_MILLIS)
            engine.decidedStops(LEAVES_AT_MILLIS, LEAVES_AT_MILLIS + 300).shouldBeEmpty()
        }

        test("its task starts elsewhere once its end is listed and not before, and the log says why") {
            val engine = engineWith(lasting, "w1")
            engine.join(worker("w2"), LEAVES_AT_MILLIS)
            engine.leave("w1")
            val actions = engine.decide(3_000, 0)
            val stop = actions.stops().single()
            val notes = actions.filterIsInstance<EngineAction.Note>().map { it.note }
            notes.filter { it.kind == NoteKind.RUN_MOVED_OFF }.map { it.subject } shouldContainExactly
                listOf(task.toString())
            actions.starts().shouldBeEmpty()
            engine.handleStopOutcome("w1", task, stop.runId, OrderOutcome.Done(3_010), 3_010, 3_000)
            engine.react(3_010).starts().shouldBeEmpty()
            engine.listRuns("w1", 3_400)
            engine.decide(3_400, 0).starts().shouldBeEmpty()
            val ended = listOf(end(1, task, stop.runId, EndKind.STOPPED))
            engine.handleListing("w1", listing(ended = ended, clockMillis = 3_800), 3_500, 3_800)
            val start = engine.react(3_800).starts().single()
            start.address.workerId shouldBe "w2"
            start.order.runId shouldBeGreaterThan stop.runId
        }

        test("tasks that share a worker that leaves move one after the other") {
            val engine = engineWith(step(3, isLasting = true), "w1")
            engine.join(worker("w2"), LEAVES_AT_MILLIS)
            engine.leave("w1")
            var now = LEAVES_AT_MILLIS
            repeat(3) { moved ->
                val stop = engine.decide(now, 0).stops().single()
                engine.handleStopOutcome("w1", stop.taskId, stop.runId, OrderOutcome.Done(now), now + 5, now)
                val w1 = engine.state.workers.getValue("w1")
                val stayed = w1.runs.values.filter { it.runId != stop.runId }
                val ended = listOf(end(moved + 1L, stop.taskId, stop.runId, EndKind.STOPPED))
                val runs = stayed.map { running(it.taskId, it.runId, percent = 100) }
                engine.handleListing("w1", listing(runs, ended, clockMillis = now + 400), now + 10, now + 400)
                engine.confirm(engine.react(now + 400).starts(), now + 405)
                // The next one stays until the task is operational on the other worker.
                engine.listRuns("w2", now + 460, percent = 50)
                engine.decide(now + 460, 0).stops().shouldBeEmpty()
                engine.listRuns("w2", now + 700)
                now += 700
            }
            engine.state.workers
                .getValue("w2")
                .runs.keys shouldHaveSize 3
        }

        test("two workers that leave at once do not take more tasks of a step away than it allows") {
            val engine = engineWith(step(2, isLasting = true, maxPerWorker = 1), "w1", "w2")
            listOf("w3", "w4").forEach { engine.join(worker(it), LEAVES_AT_MILLIS) }
            listOf("w1", "w2").forEach { engine.leave(it) }
            val stops = engine.decidedStops(LEAVES_AT_MILLIS, LEAVES_AT_MILLIS + 300)
            stops shouldHaveSize 1
        }

        test("no more runs are stopped than may share the other workers") {
            val engine = engineWith(step(4, isLasting = true, maxPerWorker = 2, mayMiss = 4), "w1", "w2")
            engine.join(worker("w3", cpuMillis = 10_000), LEAVES_AT_MILLIS)
            engine.leave("w1")
            engine.decidedStops(LEAVES_AT_MILLIS, LEAVES_AT_MILLIS + 120) shouldHaveSize 2
            engine.leave("w2")
            engine.decidedStops(LEAVES_AT_MILLIS + 180, LEAVES_AT_MILLIS + 300).shouldBeEmpty()
        }

        context("after a takeover a run is stopped") {
            withData(
                nameFn = { if (it) "once the runs of earlier owners are known" else "not before they are known" },
                true,
                false,
            ) { areKnown ->
                val engine = readyEngine(epoch = 2)
                listOf("w1", "w2", "w3").forEach { engine.addInheritedWorker(worker(it), now = 0) }
                engine.inherit(JOB, job(lasting), progress = null, acceptedAtMillis = -1_000, now = 0)
                val found = running(task, 10_000_001, percent = 100)
                engine.handleListing("w1", listing(listOf(found), clockMillis = 2_980), 2_970, 2_980)
                engine.handleListing("w2", listing(clockMillis = 2_980), 2_970, 2_980)
                // This worker may hold runs of the job as well.
                if (areKnown) engine.handleListing("w3", listing(clockMillis = 2_980), 2_970, 2_980)
                engine.leave("w1")
                engine.decidedStops(LEAVES_AT_MILLIS, LEAVES_AT_MILLIS + 300).map { it.runId } shouldBe
                    if (areKnown) listOf(10_000_001L) else emptyList()
            }
        }

        test("a worker that only the roster of earlier owners names does not count as leaving") {
            val engine = readyEngine("w2", epoch = 2)
            engine.addInheritedWorker(worker("w1"), now = 0)
            engine.unlist("w1", now = 0)
            engine.inherit(JOB, job(lasting), progress = null, acceptedAtMillis = -1_000, now = 0)
            val found = running(task, 10_000_001, percent = 100)
            engine.handleListing("w1", listing(listOf(found), clockMillis = 2_980), 2_970, 2_980)
            engine.decidedStops(LEAVES_AT_MILLIS, LEAVES_AT_MILLIS + 300).shouldBeEmpty()
        }
    })
