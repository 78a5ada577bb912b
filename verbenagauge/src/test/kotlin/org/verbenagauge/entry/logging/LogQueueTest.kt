package org.verbenagauge.entry.logging

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe

class LogQueueTest :
    FunSpec({
        test("lines beyond the capacity are counted while the reader stalls, and told when it reads again") {
            val written = ArrayList<String>()
            val queue = LogQueue({ written += it.message }, nowMillis = { 0 }, capacity = 2)
            repeat(5) { queue.offer(LogLine(Event.JOB_TAKEN, "line $it")) }
            queue.leftOut(Event.JOB_TAKEN) shouldBe 3
            queue.flush()
            written shouldBe listOf("line 0", "line 1", "JOB_TAKEN: 3 lines were left out")
        }

        test("an event that comes too often leaves room for the others") {
            val written = ArrayList<String>()
            var now = 0L
            val queue = LogQueue({ written += it.message }, nowMillis = { now }, linesPerSecond = 2)
            repeat(4) { queue.offer(LogLine(Event.RUN_ORDERED, "run $it")) }
            queue.offer(LogLine(Event.JOB_ENDED, "end"))
            now = 1_000
            queue.offer(LogLine(Event.RUN_ORDERED, "later"))
            queue.flush()
            written shouldBe listOf("run 0", "run 1", "end", "later", "RUN_ORDERED: 2 lines were left out")
            written shouldContain "end"
        }

        test("what is left out is told once a second, however often lines are written in between") {
            val written = ArrayList<String>()
            var now = 0L
            val queue = LogQueue({ written += it.message }, nowMillis = { now }, linesPerSecond = 1)
            repeat(1_000) {
                now += 2
                queue.offer(LogLine(Event.RUN_ORDERED, "run"))
                queue.offer(LogLine(Event.JOB_ENDED, "end"))
                queue.writeNext(0)
            }
            (written.count { "left out" in it } <= 6) shouldBe true
        }
    })
