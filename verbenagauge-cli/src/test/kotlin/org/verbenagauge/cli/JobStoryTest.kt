package org.verbenagauge.cli

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

private fun line(
    time: String,
    entry: String,
    message: String,
    subject: String = "",
) = """{"time":"$time","level":"INFO","logger":"verbenagauge",""" +
    """"context":{"entry":"$entry","event":"7010","name":"JOB_TAKEN","subject":"$subject"},"message":"$message"}"""

class JobStoryTest :
    FunSpec({
        test("lines of several processes come by time, whatever stands before their JSON") {
            val story = JobStory("lot-17")
            story.read("  12.3 c-2 " + line("2026-01-01T00:00:02Z", "c-2", "lot-17.0.0.0: run 1 on w1"))
            story.read(line("2026-01-01T00:00:01Z", "c-1", "submit: Accepted", subject = "lot-17"))
            story.inOrder().map { it.substringBefore(" 7010") } shouldBe
                listOf("2026-01-01T00:00:01Z c-1", "2026-01-01T00:00:02Z c-2")
        }

        test("a job whose id begins alike is another job") {
            val story = JobStory("lot-1")
            story.read(line("2026-01-01T00:00:01Z", "c-1", "lot-17.0.0.0: run 1 on w1"))
            story.read(line("2026-01-01T00:00:01Z", "c-1", "submit", subject = "lot-17"))
            story.inOrder().shouldBeEmpty()
        }

        test("a line that names the job and cannot be read is shown, not dropped") {
            val story = JobStory("lot-1")
            story.read("{lot-1 broken")
            story.inOrder() shouldHaveSize 1
        }
    })
