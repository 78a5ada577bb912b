package org.verbenagauge.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.cli.ExperimentalCli

@OptIn(ExperimentalCli::class)
class MeasurementsTest :
    FunSpec({
        test("given all measurements, when they are registered, then no name stands twice") {
            val names = measurements().map { it.name }
            names.distinct() shouldBe names
        }
    })
