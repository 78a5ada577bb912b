package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty

private const val JOB = "0000000000000001"
private const val OTHER_ENDS = 50_000

// Guards against an owner that remembers only a bounded number of ended jobs: the row of a forgotten one may still
// exist, so that the job would be read and run again.
class EndedJobRememberedTest :
    FunSpec({
        test("an ended job is not run again after many other jobs have ended") {
            val engine = readyEngine("w1", epoch = 2)
            engine.state.rememberEnd(JOB)
            repeat(OTHER_ENDS) { engine.state.rememberEnd("e%015x".format(it)) }
            engine.inherit(JOB, job(step(1)), progress = null, acceptedAtMillis = 0, now = 5)
            engine.decide(10, 0).starts().shouldBeEmpty()
        }
    })
