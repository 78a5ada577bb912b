package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.ports.OrderOutcome
import org.verbenagauge.entry.jobs.ports.StartRefusal
import org.verbenagauge.http.HttpOutcome

private data class OrderCase(
    val name: String,
    val status: Int,
    val body: String,
    val refusal: StartRefusal? = null,
    val isDone: Boolean = false,
)

class OrderAnswerTest :
    FunSpec({
        context("only answers of the protocol tell whether an order was carried out") {
            withData(
                nameFn = { it.name },
                OrderCase("accepted", 200, """{"ClockMs":482113}""", isDone = true),
                OrderCase("accepted without the clock", 200, "{}"),
                OrderCase("accepted in words", 200, "ok"),
                OrderCase("accepted with a clock below 0", 200, """{"ClockMs":-1}"""),
                OrderCase("accepted with the highest clock", 200, """{"ClockMs":9223372036854775807}"""),
                OrderCase("accepted with a clock of 30 digits", 200, """{"ClockMs":123456789012345678901234567890}"""),
                OrderCase("a higher token was seen", 409, """{"ClockMs":1,"Reason":"fence"}""", StartRefusal.FENCED),
                OrderCase("an old run", 409, """{"ClockMs":1,"Reason":"old"}""", StartRefusal.OLD_RUN),
                OrderCase(
                    "a lease that has passed",
                    409,
                    """{"ClockMs":1,"Reason":"late"}""",
                    StartRefusal.LEASE_PASSED,
                ),
                OrderCase("no room", 409, """{"ClockMs":1,"Reason":"room"}""", StartRefusal.NO_ROOM),
                OrderCase("no ticket", 409, """{"ClockMs":1,"Reason":"ticket"}""", StartRefusal.TICKET),
                OrderCase("a reason that is not known", 409, """{"ClockMs":1,"Reason":"other"}"""),
                OrderCase("a conflict without a reason", 409, "{}"),
                OrderCase("a conflict in words", 409, "no"),
                OrderCase("malformed", 400, "", StartRefusal.MALFORMED),
                OrderCase("another life", 421, "", StartRefusal.OTHER_LIFE),
                OrderCase("too many calls", 429, "", StartRefusal.UNHEALTHY),
                OrderCase("not healthy", 503, "", StartRefusal.UNHEALTHY),
                OrderCase("no such path", 404, ""),
                OrderCase("a fault of the worker", 500, ""),
                OrderCase("a gateway without a worker", 502, ""),
                OrderCase("a gateway whose worker is late", 504, ""),
                OrderCase("a redirect", 302, ""),
                OrderCase("another success", 202, """{"ClockMs":482113}"""),
            ) { case ->
                val outcome = readOrderAnswer(HttpOutcome.Answered(case.status, case.body.encodeToByteArray()))
                (outcome as? OrderOutcome.Refused)?.refusal shouldBe case.refusal
                (outcome is OrderOutcome.Done) shouldBe case.isDone
                (outcome is OrderOutcome.Unanswered) shouldBe (case.refusal == null && !case.isDone)
            }
        }
    })
