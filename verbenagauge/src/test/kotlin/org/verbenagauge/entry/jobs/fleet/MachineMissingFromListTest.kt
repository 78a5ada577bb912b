package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.MemoryRowStore
import org.verbenagauge.entry.jobs.engine.LastingGuard
import org.verbenagauge.entry.jobs.engine.readyEngine
import org.verbenagauge.entry.jobs.model.MaintenanceWave
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.logging.EventLog

private fun machine(
    number: Int,
    isInMaintenance: Boolean = false,
) = Machine("m$number", "hall", !isInMaintenance, isInMaintenance, isLost = false, kind = "a", workerId = "w$number")

private fun progress(
    machines: Int,
    maxAtOnce: Int,
) = WaveProgress(MaintenanceWave(1, (1..machines).map { "m$it" }, 60_000, maxAtOnce), WaveRecord(), 0)

/** A reading of the list at [readAtMillis] with the machines [numbers]. */
private class Reading(
    val readAtMillis: Long,
    val numbers: List<Int>,
    val isFinished: Boolean,
)

private data class FinishCase(
    val name: String,
    val readings: List<Reading>,
)

private data class StopCase(
    val name: String,
    val listed: Machine?,
    val isStopped: Boolean,
)

// Lists machines m2 and m3, and m1 as up until its maintenance and as [afterOrder] from then on.
private class OneMaintenanceGateway(
    private val afterOrder: Machine?,
) : MachineGateway {
    private var isOrdered = false

    override suspend fun list(): List<Machine> =
        listOfNotNull(if (isOrdered) afterOrder else machine(1)) + machine(2) + machine(3)

    override suspend fun maintain(
        machineId: String,
        wave: Long,
        fencingToken: Long,
    ): MachineOutcome {
        isOrdered = true
        return MachineOutcome.Done
    }

    override suspend fun move(
        machineId: String,
        poolName: String,
        fencingToken: Long,
    ): MachineOutcome = MachineOutcome.TryLater
}

// Guards against the fault that a machine that one list lacked was taken for gone: its wave completed, its slot free and its
// runs ended.
@OptIn(ExperimentalCoroutinesApi::class)
class MachineMissingFromListTest :
    FunSpec({
        context("a wave whose machine m2 has not begun its maintenance") {
            withData(
                nameFn = { it.name },
                FinishCase("is open while the list shows it", listOf(Reading(10, listOf(1, 2), false))),
                FinishCase("is open when the first list lacks it", listOf(Reading(10, listOf(1), false))),
                FinishCase(
                    "is open when a later list lacks it",
                    listOf(Reading(10, listOf(1, 2), false), Reading(600, listOf(1), false)),
                ),
                FinishCase("is open when a list is empty", listOf(Reading(10, emptyList(), false))),
                FinishCase(
                    "is open when lists lack it by turns",
                    listOf(
                        Reading(10, listOf(1), false),
                        Reading(1_900, listOf(1, 2), false),
                        Reading(2_500, listOf(1), false),
                    ),
                ),
                FinishCase(
                    "is finished when lists have lacked it for two seconds",
                    listOf(
                        Reading(10, listOf(1), false),
                        Reading(1_000, listOf(1), false),
                        Reading(2_010, listOf(1), true),
                    ),
                ),
            ) { case ->
                val engine = readyEngine("w1", "w2", "w3")
                val planner = WaveDrainPlanner(engine.state, LastingGuard(engine.state), FullPace())
                val progress = progress(2, maxAtOnce = 1)
                progress.done += "m1"
                case.readings.forEach { reading ->
                    val machines = reading.numbers.map { machine(it) }
                    val step = planner.next(progress, machines, reading.readAtMillis, reading.readAtMillis + 10)
                    step.isFinished shouldBe reading.isFinished
                }
            }
        }

        test("a machine in maintenance that a list lacks keeps its slot until lists have lacked it for two seconds") {
            val engine = readyEngine("w2", "w3", "w4", "w5", "w6")
            val planner = WaveDrainPlanner(engine.state, LastingGuard(engine.state), FullPace())
            val progress = progress(6, maxAtOnce = 1)
            val others = (2..6).map { machine(it) }
            planner.next(progress, others + machine(1, isInMaintenance = true), 10, 20).order.size shouldBe 0
            planner.next(progress, others, 600, 610).order.size shouldBe 0
            planner.next(progress, others, 2_000, 2_010).order.size shouldBe 0
            planner.next(progress, others, 2_700, 2_710).order.size shouldBe 1
        }

        test("a machine whose maintenance was ordered and that a list lacks keeps its slot for two seconds") {
            val engine = readyEngine("w2", "w3", "w4", "w5", "w6")
            val planner = WaveDrainPlanner(engine.state, LastingGuard(engine.state), FullPace())
            val progress = progress(6, maxAtOnce = 1)
            progress.done += "m1"
            progress.orderedAtMillis["m1"] = 10
            val others = (2..6).map { machine(it) }
            planner.next(progress, others, 600, 610).order.size shouldBe 0
            planner.next(progress, others, 2_000, 2_010).order.size shouldBe 0
            planner.next(progress, others, 2_700, 2_710).order.size shouldBe 1
        }

        context("after the platform has confirmed the maintenance of a machine") {
            withData(
                nameFn = { it.name },
                StopCase("its worker has stopped if it is listed as down", machine(1, isInMaintenance = true), true),
                StopCase("its worker has stopped if another one runs there", machine(1).copy(workerId = "w9"), true),
                StopCase("its worker is kept while it is listed as running", machine(1), false),
                StopCase("its worker is kept when the list lacks the machine", null, false),
            ) { case ->
                runTest {
                    val clock =
                        object : Clock {
                            override fun monotonicMillis() = testScheduler.currentTime

                            override fun wallMillis() = testScheduler.currentTime
                        }
                    val engine = readyEngine("w1", "w2", "w3")
                    val gateway = OneMaintenanceGateway(case.listed)
                    val reports = WaveReports { _, _ -> RowChange(RowPlace("status"), "wave/1", ByteArray(1)) }
                    val wave = MaintenanceWave(1, listOf("m1"), 10_000, 1)
                    val ports = WavePorts(gateway, MemoryRowStore(), reports) { listOf(wave) }
                    val cache = MachineListCache(gateway, clock)
                    val runner = WaveRunner(ports, cache, engine, clock, EventLog("a"), { true }, { })
                    val running = backgroundScope.launch { runner.run() }
                    advanceTimeBy(3_000)
                    running.cancel()
                    ("w1" !in engine.state.workers) shouldBe case.isStopped
                }
            }
        }
    })
