package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.starts
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.engine.storeRoster
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.records.JobRecord

private const val BUSY = "hall"
private const val IDLE = "counter"
private const val STANDBY = "spare"

// Sizes each pool as given in the table.
private class TableSizer(
    private val machinesByPool: Map<String, Int>,
) : PoolSizer {
    override fun size(
        demand: PoolDemand,
        now: Long,
    ): Int = machinesByPool.getValue(demand.poolName)
}

private fun queue(service: String) =
    QueueConfiguration(service, "h", "/$service/", service, 0, 3, 2.0, 600, isOpen = true)

private fun engine(vararg unansweredIds: String): JobEngine {
    val engine = JobEngine(epoch = 1, EngineLimits(), now = 0)
    val services = listOf(BUSY, IDLE, STANDBY).associateWith { ServiceConfiguration(it, false, it == STANDBY) }
    engine.configure(JobsConfiguration(1, listOf(queue(BUSY), queue(IDLE)), services, emptyMap(), 1_000))
    mapOf("w1" to BUSY, "w2" to BUSY, "w3" to IDLE, "w4" to IDLE, "w5" to IDLE).forEach { (id, service) ->
        engine.upsertWorker(worker(id).copy(serviceName = service), now = 0)
        if (id !in unansweredIds) engine.handleListing(id, listing(), sentAtMillis = 0, now = 0)
    }
    return engine
}

private val machines =
    mapOf("1" to BUSY, "2" to BUSY, "3" to IDLE, "4" to IDLE, "5" to IDLE, "6" to STANDBY).map { (number, pool) ->
        Machine("m$number", pool, true, false, false, "a", "w$number".takeIf { pool != STANDBY })
    }

private fun moves(
    engine: JobEngine,
    now: Long,
): List<Pair<String, String>> =
    MovePlanner(engine.state, TableSizer(mapOf(BUSY to 4, IDLE to 2)))
        .next(machines, emptyList(), emptySet(), now)
        .map { it.machine.machineId to it.poolName }

class MovePlannerTest :
    FunSpec({
        test("a pool gets machines from standby first, then idle machines of another pool") {
            moves(engine(), now = 100) shouldBe listOf("m6" to BUSY, "m3" to BUSY)
        }

        test("machines of an evacuated zone do not count as capacity or move, so the pool grows in other zones") {
            val engine = engine()
            listOf("w1", "w5").forEach { id ->
                val service = if (id == "w1") BUSY else IDLE
                engine.upsertWorker(worker(id).copy(serviceName = service, zoneId = "a"), now = 0)
            }
            engine.evacuate(setOf("a"), now = 0)
            val zoned = machines.map { if (it.machineId in setOf("m1", "m5", "m6")) it.copy(zoneId = "a") else it }
            val spare = Machine("m7", STANDBY, true, false, false, "a", null, zoneId = "b")
            val sizer = TableSizer(mapOf(BUSY to 4, IDLE to 1))
            MovePlanner(engine.state, sizer)
                .next(zoned + spare, emptyList(), emptySet(), now = 100)
                .map { it.machine.machineId to it.poolName } shouldBe listOf("m7" to BUSY, "m3" to BUSY)
        }

        test("a worker on a suspect machine does not count as capacity, so the pool grows") {
            val engine = engine()
            engine.state.workers
                .getValue("w2")
                .isSuspect = true
            val sizer = TableSizer(mapOf(BUSY to 2, IDLE to 3))
            MovePlanner(engine.state, sizer)
                .next(machines, emptyList(), emptySet(), now = 100)
                .map { it.machine.machineId to it.poolName } shouldBe listOf("m6" to BUSY)
        }

        test("a worker that has not answered yet counts as capacity and does not delay growth of its pool") {
            moves(engine("w2"), now = 100) shouldBe listOf("m6" to BUSY, "m3" to BUSY)
        }

        test("a pool with a worker that has not answered yet gives up no machine") {
            moves(engine("w5"), now = 100) shouldBe listOf("m6" to BUSY)
            moves(engine("w5"), now = 2_100) shouldBe listOf("m6" to BUSY)
        }

        test("tasks that must not share a worker get one machine each") {
            val engine = engine()
            engine.state.isWorkerListKnown = true
            engine.storeRoster()
            val apart = step(taskCount = 12, cpuMillis = 100, isLasting = true, maxPerWorker = 1)
            val record = JobRecord(BUSY, "", 0, JobSpecification("text", listOf(apart)))
            engine.accept("job", record, now = 100)
            engine.decide(100, 0).starts().size shouldBe 2
            val spares = List(20) { Machine("s$it", STANDBY, true, false, false, "a", null) }
            val planned =
                MovePlanner(
                    engine.state,
                    PeakDemandSizer(),
                    maxMoves = 40,
                ).next(machines + spares, emptyList(), emptySet(), 100)
            (planned.count { it.poolName == BUSY } >= 10) shouldBe true
        }

        test("a plan has no more moves than the given maximum") {
            val sizer = TableSizer(mapOf(BUSY to 30, IDLE to 2))
            val spares = List(40) { Machine("s$it", STANDBY, true, false, false, "a", null) }
            val planned =
                MovePlanner(
                    engine().state,
                    sizer,
                    maxMoves = 20,
                ).next(machines + spares, emptyList(), emptySet(), 100)
            planned.size shouldBe 20
        }
    })
