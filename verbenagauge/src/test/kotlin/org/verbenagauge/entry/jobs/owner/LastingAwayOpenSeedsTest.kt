package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldBeEmpty
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator

// Incident 011, what remains: lasting tasks away for too long around faults of the store and kills of owners.
class LastingAwayOpenSeedsTest :
    FunSpec({
        beforeSpec { Configurator.setLevel("verbenagauge", Level.OFF) }
        afterSpec { Configurator.setLevel("verbenagauge", Level.INFO) }

        context("a lasting task runs again in time") {
            withData(nameFn = { "seed $it" }, openLastingSeeds) { seed ->
                TakeoverSimulation(seed).run().shouldBeEmpty()
            }
        }
    })
