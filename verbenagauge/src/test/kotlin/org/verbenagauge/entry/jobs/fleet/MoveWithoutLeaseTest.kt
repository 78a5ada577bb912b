package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.model.MaintenanceWave
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.logging.EventLog

private const val POOL = "hall"

/** Machines whose list comes late, and whose orders get no answer. */
private class SlowMachines(
    private val listMillis: Long,
) : MachineGateway {
    var orders = 0

    override suspend fun list(): List<Machine> {
        delay(listMillis)
        return listOf(Machine("m1", POOL, isUp = true, isInMaintenance = false, isLost = false, "a", workerId = null))
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
    ): MachineOutcome = MachineOutcome.TryLater
}

// Incident 003: the lease is looked at before the list of machines is read, not when an order on a machine is sent.
@OptIn(ExperimentalCoroutinesApi::class)
class MoveWithoutLeaseTest :
    FunSpec({
        test("no upkeep is ordered when the owner's lease passed while the list of machines was read") {
            runTest {
                val clock =
                    object : Clock {
                        override fun monotonicMillis() = testScheduler.currentTime

                        override fun wallMillis() = testScheduler.currentTime
                    }
                val engine = readyEngine("w1")
                val machines = SlowMachines(listMillis = 1_200)
                val board = MachineBoard(machines, clock)
                val reports = WaveReports { _, _ -> RowChange(RowPlace("status"), "wave/1", ByteArray(1)) }
                val wave = MaintenanceWave(1, listOf("m1"), 10_000, 1)
                val ports = WavePorts(machines, MemoryRowStore(), reports) { listOf(wave) }
                val hasLease = { testScheduler.currentTime < 1_000 }
                val runner = WaveRunner(ports, board, engine, clock, EventLog("a"), hasLease, { })
                val running = backgroundScope.launch { runner.run() }
                advanceTimeBy(1_000)
                machines.orders shouldBe 0
                advanceTimeBy(1_000)
                running.cancel()
                machines.orders shouldBe 0
            }
        }
    })
