package org.verbenagauge.entry.jobs.engine

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListingOutcome

private const val JOB = "0000000000000001"

// A worker that stays listed answers once, with more ends than fit into one listing, and never again. Tasks that may
// have run there must start elsewhere after its leases have expired.
class SilentAfterFirstListingTest :
    FunSpec({
        test(
            "an inherited task starts once the leases of a worker that fell silent after one listing have expired",
        ) {
            val engine = JobEngine(epoch = 2, EngineLimits(), now = 0)
            engine.configure(configuration())
            engine.state.isWorkerListKnown = true
            listOf("w1", "w2").forEach { engine.addInheritedWorker(worker(it), now = 0) }
            engine.inherit(JOB, job(step(1)), progress = null, acceptedAtMillis = 0, now = 0)
            val others = (1L..500L).map { end(it, TaskId("e%015x".format(it), 0, 0, 0), 7, EndKind.DONE) }
            engine.handleListing("w1", listing(ended = others, hasAllEnds = false), 0, 5)
            engine.handleListing("w2", listing(), 0, 5)
            engine.decide(5, 0).starts().shouldBeEmpty()
            engine.handleListing("w1", ListingOutcome.Failed("silent"), 600, 1_200)
            engine.handleListing("w2", listing(clockMillis = 60_000), 59_000, 59_010)
            engine.decide(60_000, 0).starts() shouldHaveSize 1
        }
    })
