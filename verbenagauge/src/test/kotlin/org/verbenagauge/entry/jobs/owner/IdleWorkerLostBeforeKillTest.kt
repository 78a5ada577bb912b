package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator

// Incident 011, what remains: nobody stores that a worker without runs is lost until its list entry expires.
class IdleWorkerLostBeforeKillTest :
    FunSpec({
        beforeSpec { Configurator.setLevel("verbenagauge", Level.OFF) }
        afterSpec { Configurator.setLevel("verbenagauge", Level.INFO) }

        context("a lasting task runs again in time when an idle worker is lost with its own and the owner is killed") {
            withData(
                nameFn = { it.name },
                listOf(1.0, 2.0, 3.0, 4.0).map { second ->
                    val kill = secondsAfterLoss(second)
                    OwnerChanges(
                        "killed $second s after the loss",
                        Loss.ENDED,
                        emptyList(),
                        kill,
                        isIdleWorkerLost = true,
                    )
                },
            ) { changes ->
                changes.shouldEndTheAbsenceInTime()
            }
        }
    })
