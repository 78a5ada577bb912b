package org.verbenagauge.entry.jobs.owner

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import org.apache.logging.log4j.Level
import org.apache.logging.log4j.core.config.Configurator

// Incident 011: each new owner waited for a silent worker anew, however long earlier owners had waited.
class LastingTaskAfterTakeoversTest :
    FunSpec({
        beforeSpec { Configurator.setLevel("verbenagauge", Level.OFF) }
        afterSpec { Configurator.setLevel("verbenagauge", Level.INFO) }

        context("a lasting task on a lost worker runs again in time, and never twice") {
            withData(
                nameFn = { it.name },
                Loss.entries.flatMap { loss ->
                    listOf(
                        OwnerChanges("$loss, no change of the owner", loss),
                        OwnerChanges("$loss, the owner is stopped once", loss, secondsAfterLoss(2.6)),
                        OwnerChanges("$loss, the owner is stopped as the worker is lost", loss, secondsAfterLoss(0.0)),
                        OwnerChanges(
                            "$loss, owners are stopped one after the other",
                            loss,
                            secondsAfterLoss(1.0, 3.0, 5.0, 7.0),
                        ),
                        OwnerChanges("$loss, owners are stopped late", loss, secondsAfterLoss(4.0, 6.0, 8.0)),
                        OwnerChanges(
                            "$loss with an idle one, one stop",
                            loss,
                            secondsAfterLoss(3.5),
                            isIdleWorkerLost = true,
                        ),
                        OwnerChanges("$loss, the owner is killed", loss, emptyList(), secondsAfterLoss(3.0)),
                        OwnerChanges(
                            "$loss, owners are stopped and one is killed",
                            loss,
                            secondsAfterLoss(1.0, 5.0),
                            secondsAfterLoss(3.0),
                        ),
                    )
                },
            ) { changes ->
                changes.shouldEndTheAbsenceInTime()
            }
        }
    })
