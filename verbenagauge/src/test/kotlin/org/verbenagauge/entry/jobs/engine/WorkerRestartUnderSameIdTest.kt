package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize

private const val JOB = "0000000000000001"

// A worker may restart under the same id before its previous entry has left the platform's list.
class WorkerRestartUnderSameIdTest :
    FunSpec({
        test("a worker that restarts under the same id after its machine was found down accepts runs") {
            val engine = readyEngine("w1")
            engine.handleMachineStopped("w1", now = 10)
            val back = worker("w1").copy(bornUnixMillis = BORN + 1)
            engine.addRecordedWorker(back, now = 100)
            engine.handleListing("w1", listing(bornUnixMillis = BORN + 1), sentAtMillis = 100, now = 110)
            engine.accept(JOB, job(step(1)), now = 5_000)
            engine.addRecordedWorker(back, now = 20_000)
            engine.decide(20_000, 0).starts() shouldHaveSize 1
        }
    })
