package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.model.MaintenanceWave
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.logging.EventLog

private const val POOL = "hall"

/** Gateway that lists machines after [listMillis] and never confirms an order. */
private class SlowMachineGateway(
    private val listMillis: Long,
    private val machineCount: Int = 1,
) : MachineGateway {
    var orders = 0
    var lists = 0

    override suspend fun list(): List<Machine> {
        delay(listMillis)
        lists++
        // The first machine runs no worker.
        return List(machineCount) { number ->
            Machine("m${number + 1}", POOL, true, false, false, "a", workerId = if (number == 0) null else "w$number")
        }
    }

    override suspend fun maintain(
        machineId: String,
        wave: Long,
        fencingToken: Long,
    ): MachineOutcome {
        orders++
        return MachineOutcome.Unanswered("silent")
    }

    override suspend fun move(
        machineId: String,
        poolName: String,
        fencingToken: Long,
    ): MachineOutcome {
        orders++
        return MachineOutcome.TryLater
    }
}

private class OrderCase(
    val name: String,
    val run: suspend (WavePorts, MachineListCache, JobEngine, Clock, () -> Boolean) -> Unit,
)

// Guards against the fault of incident 003: the lease was checked before the list of machines was read, but not again
// when an order to a machine was sent, so an owner could send orders after its lease had expired.
@OptIn(ExperimentalCoroutinesApi::class)
class MoveWithoutLeaseTest :
    FunSpec({
        test("no maintenance is ordered when the lease expires while the list of machines is read") {
            runTest {
                val clock =
                    object : Clock {
                        override fun monotonicMillis() = testScheduler.currentTime

                        override fun wallMillis() = testScheduler.currentTime
                    }
                val engine = readyEngine("w1")
                val machines = SlowMachineGateway(listMillis = 1_200)
                val cache = MachineListCache(machines, clock)
                val reports = WaveReports { _, _ -> RowChange(RowPlace("status"), "wave/1", ByteArray(1)) }
                val wave = MaintenanceWave(1, listOf("m1"), 10_000, 1)
                val ports = WavePorts(machines, MemoryRowStore(), reports) { listOf(wave) }
                val hasLease = { testScheduler.currentTime < 1_000 }
                val runner = WaveRunner(ports, cache, engine, clock, EventLog("a"), hasLease, { })
                val running = backgroundScope.launch { runner.run() }
                advanceTimeBy(1_000)
                machines.orders shouldBe 0
                advanceTimeBy(1_000)
                running.cancel()
                machines.orders shouldBe 0
            }
        }

        context("no order is sent when the lease expires between the decision and the order") {
            withData(
                nameFn = { it.name },
                OrderCase("maintenance") { ports, cache, engine, clock, mayOrder ->
                    WaveRunner(ports, cache, engine, clock, EventLog("a"), mayOrder, { }).run()
                },
                OrderCase("a move") { ports, cache, engine, clock, mayOrder ->
                    PoolMover(ports.machines, cache, engine, clock, EventLog("a"), mayOrder, { }, 64.0).run()
                },
            ) { case ->
                runTest {
                    val clock =
                        object : Clock {
                            override fun monotonicMillis() = testScheduler.currentTime

                            override fun wallMillis() = testScheduler.currentTime
                        }
                    val engine = readyEngine(*Array(20) { "w$it" })
                    val plain = configuration()
                    val spare = "spare" to ServiceConfiguration("spare", enforcesCapacity = false, isStandby = true)
                    engine.configure(plain.copy(version = 2, services = plain.services + spare))
                    val machines = SlowMachineGateway(listMillis = 10, machineCount = 20)
                    val reports = WaveReports { _, _ -> RowChange(RowPlace("status"), "wave/1", ByteArray(1)) }
                    val wave = MaintenanceWave(1, listOf("m1"), 10_000, 1)
                    val ports = WavePorts(machines, MemoryRowStore(), reports) { listOf(wave) }
                    // The lease is valid at the last check before the decision and expired at the next one.
                    var leaseChecksAfterList = 0
                    val mayOrder = { machines.lists == 0 || ++leaseChecksAfterList == 1 }
                    val cache = MachineListCache(machines, clock)
                    val running = backgroundScope.launch { case.run(ports, cache, engine, clock, mayOrder) }
                    advanceTimeBy(2_000)
                    running.cancel()
                    (leaseChecksAfterList > 1) shouldBe true
                    machines.orders shouldBe 0
                }
            }
        }
    })
