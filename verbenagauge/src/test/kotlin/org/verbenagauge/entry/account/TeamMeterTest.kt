package org.verbenagauge.entry.account

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe

private data class MeterCase(
    val askedAtMillis: Long,
    val answered: Long,
)

class TeamMeterTest :
    FunSpec({
        context("given answers at 0 s and at 30 s, when the usage is asked for, then the last minute counts") {
            withData(MeterCase(30_000, 2), MeterCase(59_000, 2), MeterCase(61_000, 1), MeterCase(500_000, 0)) { case ->
                val meter = TeamMeter()
                meter.add(jobRecord(1), nowMillis = 0)
                meter.add(jobRecord(2, teamId = null), nowMillis = 10_000)
                meter.add(jobRecord(3), nowMillis = 30_000)
                (meter.usage(case.askedAtMillis)["growers"]?.answered ?: 0) shouldBe case.answered
            }
        }
    })
