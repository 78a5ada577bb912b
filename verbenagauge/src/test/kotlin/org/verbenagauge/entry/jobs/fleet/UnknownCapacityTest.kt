package org.verbenagauge.entry.jobs.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.SERVICE
import org.verbenagauge.entry.jobs.engine.addRecordedWorker
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.listing
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.engine.worker
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.records.RosterRecord

private const val STANDBY = "spare"

private class CapacityCase(
    val name: String,
    val addFirst: (JobEngine) -> Unit,
)

private val rosterRecord = RosterRecord(SERVICE, "127.0.0.1", 1, 77, "m0", queueNames = emptySet())

// Guards against the fault that the unknown capacity of one worker was taken for a pool that needs no machines.
class UnknownCapacityTest :
    FunSpec({
        context("a pool with ten machines' worth of waiting work grows to thirteen machines") {
            withData(
                nameFn = { it.name },
                CapacityCase("while every worker is known") { },
                CapacityCase("beside a worker that only an earlier owner has seen") {
                    it.restoreWorker("w0", rosterRecord, now = 0)
                },
                CapacityCase("beside a worker whose entry lacks its capacity") {
                    it.upsertWorker(worker("w0").copy(capacity = Amount()), now = 0)
                },
            ) { case ->
                val engine = JobEngine(epoch = 1, EngineLimits(), now = 0)
                val plain = configuration()
                val spare = STANDBY to ServiceConfiguration(STANDBY, enforcesCapacity = false, isStandby = true)
                engine.configure(plain.copy(services = plain.services + spare))
                engine.state.isWorkerListKnown = true
                case.addFirst(engine)
                listOf("w1", "w2").forEach {
                    engine.addRecordedWorker(worker(it), now = 0)
                    engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
                }
                engine.accept("job", job(step(40)), now = 10)
                engine.decide(10, 0)
                val spares = List(20) { Machine("s$it", STANDBY, true, false, false, "a", null) }
                val machines = listOf("1", "2").map { Machine("m$it", SERVICE, true, false, false, "a", "w$it") }
                MovePlanner(engine.state, PeakDemandSizer(), maxMoves = 40)
                    .next(machines + spares, emptyList(), emptySet(), now = 3_000)
                    .count { it.poolName == SERVICE } shouldBe 11
            }
        }
    })
