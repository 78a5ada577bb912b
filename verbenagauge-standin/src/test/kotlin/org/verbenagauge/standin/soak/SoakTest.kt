package org.verbenagauge.standin.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty

// With this seed the code of issue 16 ran tasks twice. bin/soak runs longer and with more faults.
private const val SEED = 3L
private const val SECONDS = 24
private val plays = listOf("unlisted", "woken-owner")

class SoakTest :
    FunSpec({
        test("given entries as processes, when owners are lost while jobs come in, then no rule is broken") {
            val outcome = soak(SoakSettings(SEED, SECONDS, workerCount = 6, plays = plays))
            outcome.violations
                .zip(outcome.traces)
                .map { (violation, trace) ->
                    "$violation\n${trace.joinToString("\n")}"
                }.shouldBeEmpty()
        }
    })
