package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.StepSpecification

private const val BLOCKED_JOBS = 400

private data class BlockedJobsCase(
    val name: String,
    val blocked: StepSpecification,
    val lastStarts: Boolean,
)

class LookaheadTest :
    FunSpec({
        context("a job behind hundreds of jobs that cannot start") {
            withData(
                nameFn = { it.name },
                BlockedJobsCase(
                    "starts when they need a label that no worker has",
                    step(1).copy(requiredLabel = "z"),
                    true,
                ),
                BlockedJobsCase(
                    "starts when their tasks must not share the only worker",
                    step(2, cpuMillis = 5, maxPerWorker = 1),
                    true,
                ),
                BlockedJobsCase("waits with them when they fit on no worker", step(1, cpuMillis = 3_500), false),
            ) { case ->
                val engine = readyEngine("w1")
                engine.markJobsRead(10_000)
                val blockedIds = List(BLOCKED_JOBS) { "a-%03d".format(it) }
                blockedIds.forEach {
                    engine.accept(
                        it,
                        job(case.blocked.copy(amount = case.blocked.amount.copy(memoryMegabytes = 0))),
                        now = 10,
                    )
                }
                engine.accept("b-last", job(step(1, cpuMillis = 600)), now = 20)
                val started = engine.decide(30, 0).starts().map { it.order.taskId.jobId }
                ("b-last" in started) shouldBe case.lastStarts
            }
        }
    })
