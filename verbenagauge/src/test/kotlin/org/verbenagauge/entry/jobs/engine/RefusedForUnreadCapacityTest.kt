package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.load.LoadSettings

private const val STANDBY = "spare"

// A worker of four cores has answered, and 20 jobs of four cores each wait.
private fun pressedEngine(): JobEngine {
    val engine = JobEngine(1, EngineLimits(load = LoadSettings(admission = true)), now = 0)
    val plain = configuration()
    val spare = STANDBY to ServiceConfiguration(STANDBY, enforcesCapacity = false, isStandby = true)
    engine.configure(plain.copy(services = plain.services + spare))
    engine.state.isWorkerListKnown = true
    engine.addRecordedWorker(worker("w1"), now = 0)
    engine.handleListing("w1", listing(), sentAtMillis = 0, now = 0)
    repeat(20) { engine.accept("job-$it", job(step(4)), now = 0) }
    engine.decide(0, 0)
    return engine
}

private fun JobEngine.rate(now: Long): Long? = checkNotNull(state.pressure.read(now)).byQueue[QUEUE]?.rateCpuMillis

private data class StandbyCase(
    val name: String,
    val machines: Int?,
    val rateCpuMillis: Long?,
)

private data class HeardCase(
    val name: String,
    val seenAtMillis: Long,
    val isReady: Boolean,
    val rateCpuMillis: Long,
)

// Guards against the fault that capacity that was not read yet counted as none, so that jobs were refused beside free machines.
class RefusedForUnreadCapacityTest :
    FunSpec({
        context("a pool that has just become full counts as standby") {
            withData(
                nameFn = { it.name },
                StandbyCase("none if none is listed", 0, 4_000),
                StandbyCase("the machines that are listed", 3, 16_000),
                StandbyCase("no known number before the machines are listed, so no wait is told", null, null),
            ) { case ->
                val engine = pressedEngine()
                engine.state.pressure.machinesUp = { case.machines }
                engine.rate(now = 100) shouldBe case.rateCpuMillis
            }
        }

        test("a pool that stays full is measured even if the machines are never listed") {
            val engine = pressedEngine()
            engine.state.pressure.machinesUp = { null }
            // The pool counts as full from the second reading on.
            (0L..8L).forEach { engine.rate(100 + it * 500) shouldBe null }
            engine.rate(now = 4_600) shouldBe 1_000
        }

        context("a full pool with a second worker that has not answered counts") {
            withData(
                nameFn = { it.name },
                HeardCase("it while its first answer is due", 50, true, 8_000),
                HeardCase("the first alone once the answer is overdue", -2_500, true, 4_000),
                HeardCase("the first alone if the second drains", 50, false, 4_000),
            ) { case ->
                val engine = pressedEngine()
                engine.upsertWorker(worker("w2").copy(isReady = case.isReady), case.seenAtMillis)
                engine.rate(now = 100) shouldBe case.rateCpuMillis
            }
        }
    })
