package org.verbenagauge.entry.jobs.front

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.QUEUE
import org.verbenagauge.entry.jobs.engine.configuration
import org.verbenagauge.entry.jobs.engine.job
import org.verbenagauge.entry.jobs.engine.step
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.load.AdmissionDecision
import org.verbenagauge.entry.load.LoadPressure
import org.verbenagauge.entry.load.QueuePressure
import org.verbenagauge.entry.logging.EventLog

private val pressure = LoadPressure(mapOf(QUEUE to QueuePressure(60_000, 60_000)), ageMillis = 100)

private class Simulation(
    scope: TestScope,
    val store: FollowedStore,
    isEnabled: Boolean = true,
) {
    private val clock =
        object : Clock {
            override fun monotonicMillis() = scope.testScheduler.currentTime + 10_000

            override fun wallMillis() = scope.testScheduler.currentTime + 10_000
        }
    val catalogue = StateCatalogue(store, clock, EventLog("a"))
    private val admission = JobAdmission(catalogue, clock, { isEnabled })

    fun refuses(record: JobRecord = job(step(1))): Boolean =
        admission.decide(configuration().queues.single(), "job", record, 0) is AdmissionDecision.Refuse
}

private suspend fun TestScope.simulate(
    isEnabled: Boolean = true,
    act: suspend TestScope.(Simulation) -> Unit,
) {
    val store = FollowedStore()
    store.storeOwner(OwnerRecord("a", epoch = 1, sequence = 1, pressure = pressure))
    val simulation = Simulation(this, store, isEnabled)
    backgroundScope.launch { simulation.catalogue.run() }
    advanceTimeBy(500)
    act(simulation)
}

private data class JobCase(
    val name: String,
    val record: JobRecord,
    val isEnabled: Boolean = true,
    val isRefused: Boolean,
)

class JobAdmissionTest :
    FunSpec({
        context("only jobs whose caller waits for their end may be refused") {
            val plain = job(step(1))
            withData(
                nameFn = { it.name },
                JobCase("a job", plain, isRefused = true),
                JobCase("a job, with admission control disabled", plain, isEnabled = false, isRefused = false),
                JobCase("a lasting job", job(step(1, isLasting = true)), isRefused = false),
                JobCase(
                    "a scheduled job",
                    plain.copy(specification = plain.specification.copy(repetitions = 3)),
                    isRefused = false,
                ),
            ) { case -> runTest { simulate(case.isEnabled) { it.refuses(case.record) shouldBe case.isRefused } } }
        }

        test("no job is refused 2 s after the owner failed, nor under the next owner before its first load report") {
            runTest {
                simulate {
                    it.refuses() shouldBe true
                    advanceTimeBy(2_000)
                    it.refuses() shouldBe false
                    it.store.storeOwner(OwnerRecord("b", epoch = 2, sequence = 0))
                    advanceTimeBy(500)
                    it.refuses() shouldBe false
                    it.store.storeOwner(OwnerRecord("b", epoch = 2, sequence = 1, pressure = pressure))
                    advanceTimeBy(500)
                    it.refuses() shouldBe true
                }
            }
        }

        test("no job is refused for load once the store has been unavailable for 2 s during an overload") {
            runTest {
                simulate {
                    it.store.isUnavailable = true
                    it.store.storeOwner(OwnerRecord("a", epoch = 1, sequence = 2, pressure = pressure))
                    it.refuses() shouldBe true
                    advanceTimeBy(2_000)
                    it.refuses() shouldBe false
                }
            }
        }
    })
