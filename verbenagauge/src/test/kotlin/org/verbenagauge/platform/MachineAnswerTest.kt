package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.http.HttpOutcome

private data class MachineCase(
    val name: String,
    val status: Int,
    val body: String,
    val outcome: String,
)

private fun text(outcome: MachineOutcome) =
    when (outcome) {
        is MachineOutcome.Done -> "done"
        is MachineOutcome.Fenced -> "fenced"
        is MachineOutcome.Busy -> "busy"
        is MachineOutcome.Rejected -> "rejected"
        is MachineOutcome.TryLater -> "refused"
        is MachineOutcome.Unanswered -> "not known"
    }

private data class PageCase(
    val name: String,
    val status: Int,
    val body: String,
    val machines: Int?,
)

class MachineAnswerTest :
    FunSpec({
        context("only answers of the protocol tell what became of an order on a machine") {
            withData(
                nameFn = { it.name },
                MachineCase("done", 200, "", "done"),
                MachineCase("a higher token was seen", 409, """{"Reason":"fence"}""", "fenced"),
                MachineCase("not up", 409, """{"Reason":"busy"}""", "busy"),
                MachineCase("not of that wave", 409, """{"Reason":"wave"}""", "rejected"),
                MachineCase("a reason that is not known", 409, """{"Reason":"other"}""", "not known"),
                MachineCase("a conflict without a reason", 409, "{}", "not known"),
                MachineCase("a conflict in words", 409, "no", "not known"),
                MachineCase("no such machine", 400, "", "rejected"),
                MachineCase("too many calls", 429, "", "refused"),
                MachineCase("unavailable", 503, "", "refused"),
                MachineCase("a fault of the platform", 500, "", "not known"),
                MachineCase("a gateway without the platform", 502, "", "not known"),
                MachineCase("a gateway whose platform is late", 504, "", "not known"),
            ) { case ->
                text(readMachineAnswer(HttpOutcome.Answered(case.status, case.body.encodeToByteArray()))) shouldBe
                    case.outcome
            }
        }

        context("a page without machines is not a list without machines") {
            withData(
                nameFn = { it.name },
                PageCase("one machine", 200, """{"Machines":[{"Machine":"m-1","State":"up"}],"NextToken":null}""", 1),
                PageCase("no machine", 200, """{"Machines":[]}""", 0),
                PageCase("an empty object", 200, "{}", null),
                PageCase("a machine without a state", 200, """{"Machines":[{"Machine":"m-1"}]}""", null),
                PageCase("words", 200, "ok", null),
                PageCase("a refusal", 429, "", null),
            ) { case ->
                val page = readMachinePage(HttpOutcome.Answered(case.status, case.body.encodeToByteArray()))
                page?.machines?.size shouldBe case.machines
            }
        }
    })
