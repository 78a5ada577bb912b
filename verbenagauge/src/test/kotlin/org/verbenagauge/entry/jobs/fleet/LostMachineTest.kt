package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.entry.logging.EventLog

private const val POOL = "hall"

private class SingleMachineGateway(
    private val machine: Machine,
) : MachineGateway {
    override suspend fun list(): List<Machine> = listOf(machine)

    override suspend fun maintain(
        machineId: String,
        wave: Long,
        fencingToken: Long,
    ): MachineOutcome = MachineOutcome.TryLater

    override suspend fun move(
        machineId: String,
        poolName: String,
        fencingToken: Long,
    ): MachineOutcome = MachineOutcome.TryLater
}

private data class LostCase(
    val name: String,
    val isLost: Boolean,
    val answer: ListingOutcome,
    val isRemoved: Boolean,
)

@OptIn(ExperimentalCoroutinesApi::class)
class LostMachineTest :
    FunSpec({
        context("a worker and its runs are removed with their lost machine") {
            withData(
                nameFn = { it.name },
                LostCase("lost machine with a silent worker", true, ListingOutcome.Failed("silent"), true),
                LostCase("not removed while the worker answers", true, listing(), false),
                LostCase("not removed when only the worker fails", false, ListingOutcome.Failed("silent"), false),
            ) { case ->
                runTest {
                    val clock =
                        object : Clock {
                            override fun monotonicMillis() = testScheduler.currentTime

                            override fun wallMillis() = testScheduler.currentTime
                        }
                    val engine = readyEngine("w1")
                    val machine = Machine("m1", POOL, !case.isLost, false, case.isLost, "a", "w1")
                    val gateway = SingleMachineGateway(machine)
                    val cache = MachineListCache(gateway, clock)
                    val mover =
                        PoolMover(gateway, cache, engine, clock, EventLog("a"), { true }, { }, ordersPerSecond = 64.0)
                    val running = backgroundScope.launch { mover.run() }
                    engine.handleListing("w1", case.answer, sentAtMillis = 0, now = 50)
                    advanceTimeBy(1_000)
                    running.cancel()
                    ("w1" !in engine.state.workers) shouldBe case.isRemoved
                }
            }
        }
    })
