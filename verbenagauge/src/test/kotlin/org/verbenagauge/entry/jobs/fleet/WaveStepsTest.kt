package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
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
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.OrderOutcome

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

private fun steps(engine: JobEngine) = WaveSteps(engine.state, LastingGuard(engine.state))

private fun lastingOn(vararg workerIds: String): JobEngine {
    val engine = readyEngine(*workerIds)
    val step = step(workerIds.size, isLasting = true, maxPerWorker = 1, mayMiss = 1)
    engine.accept(JOB, job(step), now = 0)
    engine.decide(0, 0).starts().forEach { start ->
        val workerId = start.address.workerId
        engine.started(workerId, start.order, OrderOutcome.Done(1_000), now = 5)
        val run = running(start.order.taskId, start.order.runId, percent = 100)
        engine.listed(workerId, listing(running = listOf(run)), 10, 20)
    }
    return engine
}

class WaveStepsTest :
    FunSpec({
        test("no more machines go down than the wave allows, those of an earlier owner counted") {
            val engine = readyEngine("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = listOf(machine(1, isUp = false, isInMaintenance = true)) + (2..6).map { machine(it) }
            val progress = progress(6, maxAtOnce = 2)
            steps(engine).next(progress, machines, 10, 20).order.map { it.machineId } shouldBe listOf("m2")
        }

        test("a machine without a worker goes down without being emptied") {
            val engine = readyEngine("w1", "w2", "w3")
            val progress = progress(1, maxAtOnce = 1)
            steps(engine).next(progress, listOf(machine(1, hasWorker = false)), 10, 20).order.size shouldBe 1
        }

        test("a step does not lose a second task while the order that ends the first is on its way") {
            val engine = lastingOn("w1", "w2", "w3", "w4", "w5", "w6")
            val machines = (1..6).map { machine(it) }
            val progress = progress(2, maxAtOnce = 2)
            val first = steps(engine).next(progress, machines, 10, 30).order
            first.size shouldBe 1
            progress.inFlight += first.map { it.machineId }
            progress.orderedAtMillis[first.single().machineId] = 30
            steps(engine).next(progress, machines, 10, 130).order.shouldBeEmpty()
        }

        test("a wave is finished when every machine that stays has begun") {
            val engine = readyEngine("w1", "w2", "w3")
            val progress = progress(3, maxAtOnce = 3)
            progress.done += listOf("m1", "m2")
            steps(engine).next(progress, listOf(machine(1), machine(2)), 10, 20).isFinished shouldBe true
            steps(engine).next(progress, listOf(machine(1), machine(3)), 10, 20).isFinished shouldBe false
        }
    })
