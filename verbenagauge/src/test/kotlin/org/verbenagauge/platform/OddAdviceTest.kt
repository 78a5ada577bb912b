package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class AdviceCase(
    val rows: String,
    val tickets: Map<String, String>?,
)

class OddAdviceTest :
    FunSpec({
        context("a row of advice that names no worker and ticket holds up no other") {
            withData(
                nameFn = { it.rows },
                AdviceCase("""["w","t"]""", mapOf("w" to "t")),
                AdviceCase("""["w",[1]],["v","t"]""", mapOf("v" to "t")),
                AdviceCase("""["w",{}],["v","t"]""", mapOf("v" to "t")),
                AdviceCase("""[["w"],"t"],["v","t"]""", mapOf("v" to "t")),
                AdviceCase("""["w",null],["v","t"]""", mapOf("v" to "t")),
                AdviceCase("""["w"],[],["v","t"]""", mapOf("v" to "t")),
                AdviceCase("""{"Id":"w"}""", null),
            ) { case -> readAdvice(answered("""{"Allowed":[${case.rows}]}""")) shouldBe case.tickets }
        }
    })
