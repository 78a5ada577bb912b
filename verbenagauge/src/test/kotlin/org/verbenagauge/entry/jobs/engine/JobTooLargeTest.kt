package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.records.JobRecord

private data class TooLargeCase(
    val name: String,
    val read: (JobEngine, String, JobRecord) -> Unit,
)

class JobTooLargeTest :
    FunSpec({
        context("a stored job that exceeds the size limit is skipped and other jobs run") {
            withData(
                nameFn = { it.name },
                TooLargeCase("inherited") { engine, id, record -> engine.inherit(id, record, null, 0, 0) },
                TooLargeCase("read from the feed") { engine, id, record -> engine.accept(id, record, 0) },
            ) { case ->
                val engine = readyEngine("w1")
                case.read(engine, "large", job(step(Int.MAX_VALUE)))
                case.read(engine, "small", job(step(1)))
                engine.decide(10, 0).starts().map { it.order.taskId.jobId } shouldBe listOf("small")
                engine.state.jobs.keys shouldBe setOf("small")
            }
        }
    })
