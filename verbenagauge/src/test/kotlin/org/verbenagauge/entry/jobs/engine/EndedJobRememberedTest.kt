package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty

private const val JOB = "0000000000000001"
private const val OTHER_ENDS = 50_000

// A new owner remembers a bounded number of ended jobs; the row of one that it has forgotten may still hold the job.
class EndedJobRememberedTest :
    FunSpec({
        test("a job that ended before many others is not taken for a new one") {
            val engine = readyEngine("w1", epoch = 2)
            engine.state.rememberEnd(JOB)
            repeat(OTHER_ENDS) { engine.state.rememberEnd("e%015x".format(it)) }
            engine.inherit(JOB, job(step(1)), progress = null, acceptedAtMillis = 0, now = 5)
            engine.decide(10, 0).starts().shouldBeEmpty()
        }
    })
