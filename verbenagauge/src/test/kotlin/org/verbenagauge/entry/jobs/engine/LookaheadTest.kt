package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.model.StepSpecification

private const val MANY = 400

private data class LineCase(
    val name: String,
    val blocked: StepSpecification,
    val isLastServed: Boolean,
)

class LookaheadTest :
    FunSpec({
        context("behind hundreds of jobs that cannot start, one that can") {
            withData(
                nameFn = { it.name },
                LineCase("starts when they need a label that no worker has", step(1).copy(requiredLabel = "z"), true),
                LineCase(
                    "starts when their tasks must not share the only worker",
                    step(2, cpuMillis = 5, maxPerWorker = 1),
                    true,
                ),
                LineCase("waits with them when no worker has room for them", step(1, cpuMillis = 3_500), false),
            ) { case ->
                val engine = readyEngine("w1")
                engine.markJobsRead(10_000)
                val line = List(MANY) { "a-%03d".format(it) }
                line.forEach {
                    engine.accept(
                        it,
                        job(case.blocked.copy(amount = case.blocked.amount.copy(memoryMegabytes = 0))),
                        now = 10,
                    )
                }
                engine.accept("b-last", job(step(1, cpuMillis = 600)), now = 20)
                val started = engine.decide(30, 0).starts().map { it.order.taskId.jobId }
                ("b-last" in started) shouldBe case.isLastServed
            }
        }
    })
