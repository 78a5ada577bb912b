package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldNotBeNull
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.records.JobRecord

private const val WITHIN = "within"
private const val FLOODING = "flooding"
private const val PASS_MILLIS = 100L
private const val ARRIVAL_MILLIS = 1_000L

private data class ReservationCase(
    val name: String,
    val running: StepSpecification,
    val waiting: StepSpecification,
    val startMillis: LongRange,
)

private fun twoAccounts(): JobEngine =
    engineWithShares(
        TeamConfiguration(WITHIN, emptySet(), 0.0, Amount()),
        TeamConfiguration(FLOODING, emptySet(), 0.01, Amount()),
    )

private fun record(
    team: String,
    step: StepSpecification,
) = JobRecord(QUEUE, team, ARRIVAL_MILLIS, JobSpecification("text", listOf(step)))

class SurplusBesideWaitingJobsTest :
    FunSpec({
        // Guards against surplus that never starts, since workers with room are kept for jobs that never fit there.
        context("a surplus job starts in time beside a job within its share that waits for good") {
            withData(
                nameFn = { it.name },
                ReservationCase(
                    "since lasting tasks leave it too little room: at once",
                    running = step(2, cpuMillis = 2_000, isLasting = true, maxPerWorker = 1),
                    waiting = step(2, cpuMillis = 3_000, isLasting = true),
                    startMillis = ARRIVAL_MILLIS..ARRIVAL_MILLIS,
                ),
                ReservationCase(
                    "since long tasks leave it too little room: once it has waited for some seconds",
                    running = step(2, cpuMillis = 2_000, maxPerWorker = 1),
                    waiting = step(2, cpuMillis = 3_000),
                    startMillis = ARRIVAL_MILLIS + 3_000..ARRIVAL_MILLIS + 7_000,
                ),
            ) { case ->
                val engine = twoAccounts()
                val running = HashMap<String, ArrayList<ListedRun>>()
                var startedAtMillis: Long? = null

                fun decide(now: Long) =
                    engine.decide(now, 0).starts().forEach { start ->
                        val task = start.order.taskId
                        val runs = running.getOrPut(start.address.workerId) { ArrayList() }
                        engine.handleStartOutcome(start.address.workerId, start.order, OrderOutcome.Done(now), now)
                        runs += ListedRun(task, start.order.runId, "", 10, 0)
                        if (task.jobId == "d-surplus") startedAtMillis = startedAtMillis ?: now
                    }

                engine.accept("a-running", record(WITHIN, case.running), now = 0)
                decide(0)
                engine.accept("b-waiting", record(WITHIN, case.waiting), now = ARRIVAL_MILLIS)
                engine.accept("c-within", record(FLOODING, step(1, cpuMillis = 100)), now = ARRIVAL_MILLIS)
                engine.accept("d-surplus", record(FLOODING, step(1, cpuMillis = 100)), now = ARRIVAL_MILLIS)
                for (now in ARRIVAL_MILLIS..10_000L step PASS_MILLIS) {
                    decide(now)
                    running.forEach { (worker, runs) ->
                        engine.handleListing(worker, listing(runs.toList(), clockMillis = 1_000 + now), now, now)
                    }
                }
                startedAtMillis.shouldNotBeNull().shouldBeInRange(case.startMillis)
            }
        }
    })
