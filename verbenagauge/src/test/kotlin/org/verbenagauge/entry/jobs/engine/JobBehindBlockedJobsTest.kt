package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord

private const val CROWD = "crowd"
private const val OTHER = "other"
private const val LAST = "z-last"
private const val PASS_MILLIS = 100L
private const val LATEST_START_MILLIS = 3_000L

private data class BlockedCase(
    val name: String,
    val count: Int,
    val blocked: (Int) -> StepSpecification,
    val last: StepSpecification = step(2, cpuMillis = 200),
    val isLastSurplus: Boolean = false,
    val limit: Amount = Amount(),
)

private fun engineFor(case: BlockedCase): JobEngine =
    engineWithShares(
        TeamConfiguration(CROWD, emptySet(), 0.0, case.limit),
        TeamConfiguration(OTHER, emptySet(), if (case.isLastSurplus) 0.01 else 0.0, Amount()),
    )

private fun jobOf(
    team: String,
    step: StepSpecification,
) = JobRecord(QUEUE, team, 0, JobSpecification("text", listOf(step)))

// The sizes differ, so that no two jobs have the same demand.
private fun large(index: Int) = step(1, cpuMillis = 4_100L + index, isLasting = true)

class JobBehindBlockedJobsTest :
    FunSpec({
        // Guards against an accepted job that never starts, since every pass ends at the same jobs without room.
        context("a job with room starts, however many jobs wait before it") {
            withData(
                nameFn = { it.name },
                BlockedCase("110 lasting jobs without room", 110, ::large),
                BlockedCase("5,000 lasting jobs without room", 5_000, ::large),
                BlockedCase("400 jobs without room that do not last", 400, { step(1, cpuMillis = 4_100L + it) }),
                BlockedCase(
                    "1,000 jobs that lack processors or memory in turn",
                    1_000,
                    {
                        if (it % 2 ==
                            0
                        ) {
                            large(it)
                        } else {
                            step(1, 10, isLasting = true).copy(amount = Amount(10, 200_000))
                        }
                    },
                ),
                BlockedCase(
                    "120 jobs without room, then 300 that need a label that no worker has",
                    420,
                    { if (it < 120) large(it) else step(1, 10, isLasting = true).copy(requiredLabel = "none") },
                ),
                BlockedCase(
                    "120 jobs without room, then 5,000 beyond the limit of their team",
                    5_120,
                    { if (it < 120) large(it) else step(1, cpuMillis = 300, isLasting = true) },
                    limit = Amount(cpuMillis = 200),
                ),
                BlockedCase("a surplus job behind 110 lasting jobs", 110, ::large, isLastSurplus = true),
            ) { case ->
                val engine = engineFor(case)
                repeat(case.count) {
                    engine.accept("a-%05d".format(it), jobOf(CROWD, case.blocked(it)), now = 0)
                }
                if (case.isLastSurplus) engine.accept("y-within", jobOf(OTHER, case.last), now = 0)
                engine.accept(LAST, jobOf(OTHER, case.last), now = 0)
                val started = HashMap<String, Long>()
                for (now in 0..LATEST_START_MILLIS step PASS_MILLIS) {
                    engine.decide(now, 0).starts().forEach { started.putIfAbsent(it.order.taskId.jobId, now) }
                }
                started.keys shouldContain LAST
                started.getValue(LAST) shouldBeLessThanOrEqual LATEST_START_MILLIS
            }
        }

        // Guards against passes that leave jobs out for good: whatever a pass leaves out, a later one examines.
        test("jobs that fit but cannot start are visited in turn, and the number left out is reported") {
            val engine = engineFor(BlockedCase("", 0, ::large))
            val tooWide = step(3, cpuMillis = 10, isLasting = true, maxPerWorker = 1)
            repeat(100) { engine.accept("a-%05d".format(it), jobOf(CROWD, large(it)), now = 0) }
            repeat(50) { engine.accept("b-%05d".format(it), jobOf(CROWD, tooWide), now = 0) }
            val left =
                (0L..20L).map {
                    engine.decide(PASS_MILLIS * it, 0)
                    engine.unreachedJobs
                }
            left.any { it in 1..49 } shouldBe true
            left.count { it == 0 } shouldBeGreaterThan 1
        }
    })
