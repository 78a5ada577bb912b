package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.LastingGuard
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.engine.running
import org.verbenagauge.entry.jobs.engine.starts
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.model.MaintenanceWave
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.OrderOutcome

// Time after a takeover at which orders of the previous owner can no longer be carried out.
private const val GRACE_MILLIS = 3_000L
private const val JOB = "00000000000000bb"

private fun machine(
    number: Int,
    isUp: Boolean = true,
    isInMaintenance: Boolean = false,
    hasWorker: Boolean = true,
) = Machine("m$number", "hall", isUp, isInMaintenance, isLost = false, kind = "a", "w$number".takeIf { hasWorker })

private fun progress(
    machines: Int,
    maxAtOnce: Int,
) = WaveProgress(MaintenanceWave(1, (1..machines).map { "m$it" }, 20_000, maxAtOnce), WaveRecord(), 0)

private fun planner(
    engine: JobEngine,
    pace: WavePace = FullPace(),
) = WaveDrainPlanner(engine.state, LastingGuard(engine.state), pace)

// One task on each worker; each needs 2.5 cores, and two of them do not fit on one worker.
private fun engineWithTasks(vararg workerIds: String): JobEngine {
    val engine = readyEngine(*workerIds)
    engine.accept(JOB, job(step(workerIds.size, cpuMillis = 2_500)), now = 0)
    engine.decide(0, 0).starts().forEach {
        engine.handleStartOutcome(it.address.workerId, it.order, OrderOutcome.Done(1_000), now = 5)
    }
    return engine
}

private fun engineWithLastingTasks(vararg workerIds: String): JobEngine {
    val engine = readyEngine(*workerIds)
    val step = step(workerIds.size, isLasting = true, maxPerWorker = 1, mayMiss = 1)
    engine.accept(JOB, job(step), now = 0)
    engine.decide(0, 0).starts().forEach { start ->
        val workerId = start.address.workerId
        engine.handleStartOutcome(workerId, start.order, OrderOutcome.Done(1_000), now = 5)
        reportRunning(engine, workerId, start.order.taskId, start.order.runId, now = GRACE_MILLIS)
    }
    return engine
}

private fun reportRunning(
    engine: JobEngine,
    workerId: String,
    taskId: TaskId,
    runId: Long,
    now: Long,
) {
    val run = running(taskId, runId, percent = 100)
    engine.handleListing(workerId, listing(running = listOf(run)), now - 10, now)
}

private data class PaceCase(
    val name: String,
    val remaining: Int,
    val elapsedMillis: Long,
    val expected: Int,
)

class WaveDrainPlannerTest :
    FunSpec({
        test("the maximum of the wave includes machines that a previous owner has taken down") {
            val engine = readyEngine("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = listOf(machine(1, isUp = false, isInMaintenance = true)) + (2..6).map { machine(it) }
            val progress = progress(6, maxAtOnce = 2)
            planner(engine).next(progress, machines, 10, 20).order.map { it.machineId } shouldBe listOf("m2")
        }

        test("a machine without a worker is ordered without draining") {
            val engine = readyEngine("w1", "w2", "w3")
            val progress = progress(1, maxAtOnce = 1)
            planner(engine).next(progress, listOf(machine(1, hasWorker = false)), 10, 20).order.size shouldBe 1
        }

        test("a step does not lose a second task while the order that ends the first is in flight") {
            val engine = engineWithLastingTasks("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = (1..6).map { machine(it) }
            val progress = progress(2, maxAtOnce = 2)
            val first = planner(engine).next(progress, machines, GRACE_MILLIS, GRACE_MILLIS + 30).order
            first.size shouldBe 1
            progress.inFlight += first.map { it.machineId }
            progress.orderedAtMillis[first.single().machineId] = GRACE_MILLIS + 30
            planner(engine).next(progress, machines, GRACE_MILLIS, GRACE_MILLIS + 130).order.shouldBeEmpty()
        }

        test("a step does not lose a second task after an unanswered order, which is repeated") {
            val engine = engineWithLastingTasks("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = (1..6).map { machine(it) }
            val progress = progress(2, maxAtOnce = 2)
            val first = planner(engine).next(progress, machines, GRACE_MILLIS, GRACE_MILLIS + 30).order.single()
            progress.orderedAtMillis[first.machineId] = GRACE_MILLIS + 30
            progress.uncertain += first.machineId
            planner(engine).next(progress, machines, GRACE_MILLIS, GRACE_MILLIS + 130).order shouldBe listOf(first)
        }

        test("a step does not lose a second task while the order of another wave ends the first") {
            val engine = engineWithLastingTasks("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = (1..6).map { machine(it) }
            val other = WaveProgress(MaintenanceWave(2, listOf("m6"), 20_000, 1), WaveRecord(), 0)
            other.orderedAtMillis["m6"] = GRACE_MILLIS + 10
            val step = planner(engine).next(progress(2, 2), machines, GRACE_MILLIS, GRACE_MILLIS + 30, listOf(other))
            step.order.shouldBeEmpty()
        }

        test("a step does not lose a second task while another is stopped because tasks share its worker") {
            val engine = readyEngine("w1", "w2", "w3", "w4", "w5", "w6")
            val step = step(3, cpuMillis = 2_000, isLasting = true, maxPerWorker = 2, mayMiss = 1)
            engine.accept(JOB, job(step), now = 0)
            val starts = engine.decide(0, 0).starts()
            starts.groupBy { it.address.workerId }.values.map { it.size } shouldBe listOf(2, 1)
            starts.forEach {
                engine.handleStartOutcome(
                    it.address.workerId,
                    it.order,
                    OrderOutcome.Done(1_000),
                    now = 5,
                )
            }
            starts.groupBy { it.address.workerId }.forEach { (workerId, orders) ->
                val runs = orders.map { running(it.order.taskId, it.order.runId, percent = 100) }
                engine.handleListing(workerId, listing(running = runs), GRACE_MILLIS - 10, GRACE_MILLIS)
            }
            val progress = progress(2, maxAtOnce = 2)
            progress.drainingSinceMillis += mapOf("m1" to GRACE_MILLIS, "m2" to GRACE_MILLIS)
            val next = planner(engine).next(progress, (1..6).map { machine(it) }, GRACE_MILLIS, GRACE_MILLIS + 30)
            next.stop.size + next.order.size shouldBe 1
        }

        test("a step does not lose a task while the machine of another is listed as down") {
            val engine = engineWithLastingTasks("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = (1..5).map { machine(it) } + machine(6, isUp = false, isInMaintenance = true)
            val step = planner(engine).next(progress(2, 2), machines, GRACE_MILLIS, GRACE_MILLIS + 30)
            step.order.shouldBeEmpty()
        }

        test("no lasting task ends soon after a takeover, since earlier orders may still be carried out") {
            val engine = engineWithLastingTasks("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = (1..6).map { machine(it) }
            planner(engine).next(progress(2, 2), machines, 10, 1_000).order.shouldBeEmpty()
        }

        test("machines of a completed wave count as in service when the list shows them as up") {
            val engine = engineWithLastingTasks("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = (1..6).map { machine(it) }
            val other = WaveProgress(MaintenanceWave(2, listOf("m6"), 20_000, 1), WaveRecord(listOf("m6"), true), 0)
            other.orderedAtMillis["m6"] = GRACE_MILLIS
            val now = GRACE_MILLIS + 1_000
            val step = planner(engine).next(progress(2, 2), machines, now, now, listOf(other))
            step.order.size shouldBe 1
        }

        test("a machine that went down after an unanswered order is ordered until the platform answers") {
            val engine = readyEngine("w2", "w3", "w4", "w5", "w6")
            val machines = listOf(machine(1, isUp = false, isInMaintenance = true)) + (2..6).map { machine(it) }
            val progress = progress(1, maxAtOnce = 1)
            progress.orderedAtMillis["m1"] = 10
            planner(engine).next(progress, machines, 20, 30).order.map { it.machineId } shouldBe listOf("m1")
        }

        context("the pace limits the busy machines that are out of service at once") {
            withData(
                nameFn = { it.name },
                PaceCase("as few as suffice to end in time", remaining = 6, elapsedMillis = 0, expected = 3),
                PaceCase("more when little time is left", remaining = 6, elapsedMillis = 7_000, expected = 6),
                PaceCase("the wave's maximum after its end time", remaining = 2, elapsedMillis = 40_000, expected = 6),
                PaceCase("at least one", remaining = 0, elapsedMillis = 0, expected = 1),
                PaceCase("no more than the wave allows", remaining = 30, elapsedMillis = 0, expected = 6),
            ) { case ->
                EvenPace().limit(progress(6, maxAtOnce = 6), case.remaining, case.elapsedMillis) shouldBe case.expected
            }
        }

        test("a wave with enough time keeps more busy machines in service at even pace than at full pace") {
            val workerIds = (1..18).map { "w$it" }.toTypedArray()
            val machines = (1..18).map { machine(it) }
            listOf(EvenPace() to 3, FullPace() to 6).forEach { (pace, expected) ->
                val engine = engineWithTasks(*workerIds)
                planner(engine, pace).next(progress(6, maxAtOnce = 6), machines, GRACE_MILLIS, GRACE_MILLIS)
                engine.state.workers.values
                    .count { it.isReserved } shouldBe expected
            }
        }

        test("idle machines are ordered first, as many at once as the wave allows") {
            val workerIds = (1..18).map { "w$it" }.toTypedArray()
            val engine = readyEngine(*workerIds)
            val machines = (1..18).map { machine(it) }
            val step = planner(engine, EvenPace()).next(progress(6, 6), machines, GRACE_MILLIS, GRACE_MILLIS)
            step.order.size shouldBe 6
        }

        test("a wave is finished when every machine that has not left the platform has begun its maintenance") {
            val engine = readyEngine("w1", "w2", "w3")
            val progress = progress(3, maxAtOnce = 3)
            progress.done += listOf("m1", "m2")
            planner(engine).next(progress, listOf(machine(1), machine(2)), 10, 20).isFinished shouldBe false
            planner(engine).next(progress, listOf(machine(1), machine(2)), 2_010, 2_020).isFinished shouldBe true
            planner(engine).next(progress, listOf(machine(1), machine(3)), 2_510, 2_520).isFinished shouldBe false
        }
    })
