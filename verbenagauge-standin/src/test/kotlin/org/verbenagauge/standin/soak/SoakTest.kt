package org.verbenagauge.standin.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty

// A few takeovers; bin/soak runs longer ones.
private const val SECONDS = 16

class SoakTest :
    FunSpec({
        test("given entries as processes, when owners are lost while jobs come in, then no rule is broken") {
            val outcome = soak(SoakSettings(seed = 3, seconds = SECONDS, workerCount = 6, jobsPerSecond = 8))
            outcome.violations
                .zip(outcome.traces)
                .map { (violation, trace) ->
                    "$violation\n${trace.joinToString("\n")}"
                }.shouldBeEmpty()
        }
    })
