package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.load.LoadPressure
import org.verbenagauge.entry.load.LoadSettings

private const val JOBS = 20

private fun engine(load: LoadSettings): JobEngine {
    val engine = JobEngine(1, EngineLimits(load = load), now = 0)
    engine.configure(configuration())
    engine.state.isWorkerListKnown = true
    engine.addRecordedWorker(worker("w1"), now = 0)
    engine.handleListing("w1", listing(), sentAtMillis = 0, now = 0)
    return engine
}

// Each job needs two core seconds and runs on four cores.
private fun JobEngine.acceptAll(count: Int) {
    repeat(count) { accept("job-$it", job(step(4)), now = it.toLong()) }
    decide(JOBS.toLong(), 0)
}

private fun JobEngine.pressure(now: Long) = checkNotNull(state.pressure.read(now))

class PressureMeterTest :
    FunSpec({
        test("pressure is not measured unless admission is switched on") {
            val engine = engine(LoadSettings(accountShares = true))
            engine.acceptAll(JOBS)
            engine.state.pressure.read(100) shouldBe null
        }

        test("a queue whose jobs all fit has no pressure") {
            val engine = engine(LoadSettings(admission = true))
            engine.acceptAll(1)
            engine.pressure(100) shouldBe LoadPressure()
        }

        test("the wait is the work ahead over the pool's rate, less half of the running work") {
            val engine = engine(LoadSettings(accountShares = true, admission = true))
            engine.acceptAll(JOBS)
            val pressure = engine.pressure(100)
            val queue = pressure.byQueue.getValue(QUEUE)
            // Surplus waits for the work within shares and for other surplus.
            // 20 jobs of 500 ms each; the account's share is six jobs sent at once, at one job per second over 5 s.
            queue.surplusWaitMillis shouldBe 20 * 500 - 250
            queue.withinWaitMillis shouldBe 6 * 500 - 250
            queue.rateCpuMillis shouldBe 4_000
            pressure.surplusTeams shouldBe mapOf(TEAM to 600)
        }

        test("pressure is measured every 500 ms and reported with its age") {
            val engine = engine(LoadSettings(admission = true))
            engine.acceptAll(JOBS)
            engine.pressure(100)
            engine.cancel("job-19", 200)
            engine.pressure(400).ageMillis shouldBe 300
            engine
                .pressure(400)
                .byQueue
                .getValue(QUEUE)
                .surplusWaitMillis shouldBe 20 * 500 - 250
            engine
                .pressure(600)
                .byQueue
                .getValue(QUEUE)
                .surplusWaitMillis shouldBe 19 * 500 - 250
        }

        test("a new owner measures the same pressure from the jobs that it inherits") {
            val load = LoadSettings(accountShares = true, admission = true)
            val old = engine(load).apply { acceptAll(JOBS) }
            val next = engine(load)
            repeat(
                JOBS,
            ) { next.inherit("job-$it", job(step(4)), progress = null, acceptedAtMillis = it.toLong(), now = 50) }
            next.state.jobsReadAsOfMillis = 60
            next.decide(10_000, 0)
            next.state.missingRoomByService[SERVICE] = MissingCapacity(job(step(4)).specification.steps[0].amount)
            val inherited = next.pressure(100).byQueue.getValue(QUEUE)
            val before = old.pressure(100).byQueue.getValue(QUEUE)
            inherited.surplusWaitMillis shouldBeInRange before.surplusWaitMillis - 500..before.surplusWaitMillis + 500
            inherited.withinWaitMillis shouldBeInRange before.withinWaitMillis - 500..before.withinWaitMillis + 500
        }
    })
