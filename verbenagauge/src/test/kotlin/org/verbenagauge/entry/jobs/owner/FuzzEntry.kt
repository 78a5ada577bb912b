package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.launch
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.QUEUE
import org.verbenagauge.entry.jobs.front.CancelOutcome
import org.verbenagauge.entry.jobs.front.JobFront
import org.verbenagauge.entry.jobs.front.JobLookup
import org.verbenagauge.entry.jobs.front.PendingCount
import org.verbenagauge.entry.jobs.front.PendingCounts
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.front.SubmitOutcome
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.platform.PlatformWorkerList
import kotlin.random.Random

/** Event log shared by all entries of a simulation. */
internal val fuzzLog: EventLog by lazy { EventLog("fuzz") }

/** Simulated surroundings that all entries of a simulation share. */
internal class FuzzEnvironment(
    val time: VirtualTime,
    val random: Random,
    val store: VirtualStore,
    val storeFaults: StoreFaults,
    val networkFaults: NetworkFaults,
    val machines: List<WorkerMachine>,
    val oracle: TakeoverOracle,
    val trace: FuzzTrace,
    val configuration: JobsConfiguration,
)

/** One entry: one process after another, each with the production code that accepts jobs and decides on placement. */
internal class FuzzEntry(
    val id: String,
    private val rank: Int,
    private val wallBaseMillis: Long,
    private val env: FuzzEnvironment,
    private val allEntries: () -> List<FuzzEntry>,
) {
    private class RunningEntry(
        val process: VirtualProcess,
        val ownership: Ownership,
        val front: JobFront,
        val pendingCounts: PendingCounts,
        val peers: EntryPeers,
    ) {
        var isStopping = false
    }

    private var running: RunningEntry? = null
    private var incarnation = 0L
    private var pendingOrderPause: (() -> Unit)? = null

    /** The running process, or null if the entry is down. */
    val process: VirtualProcess? get() = running?.process

    /** Whether this entry is the owner, which decides on placement. */
    val isOwner: Boolean get() = running?.ownership?.isOwner == true

    /** Whether a process is running that has not been asked to stop. */
    val isServing: Boolean get() = running?.isStopping == false

    private val peers: EntryPeers? get() = running?.peers

    private var isKilled = false
    private var earlierDisruptionsEndMillis = 0L

    /** End of the latest pause or unplanned end, in virtual time; may be in the future. Planned stops are none. */
    val calmSinceMillis: Long
        get() {
            val now = env.time.nowMillis
            return if (isKilled) now else maxOf(earlierDisruptionsEndMillis, process?.pausedUntilMillis ?: 0)
        }

    /** Starts a process, unless one is running. */
    fun start() {
        if (running != null) return
        incarnation++
        earlierDisruptionsEndMillis = calmSinceMillis
        isKilled = false
        env.trace.add { "entry $id starts" }
        val process = VirtualProcess(env.time, env.random, wallBaseMillis, env.oracle::entryFailed)
        val store = EntryStore(id, process, env.time, env.store, env.storeFaults, env.trace)
        val catalogue = StateCatalogue(store, process, fuzzLog)
        val network =
            EntryPeers(PeerId(id, incarnation), process, env.time, env.networkFaults) {
                allEntries().filter { it !== this }.mapNotNull { it.peers }
            }
        val ownership = ownership(process, store, catalogue)
        val broadcast = OwnerBroadcast(network, process) { it.forEach(catalogue::recordState) }
        network.subscribe { from, message -> process.scope.launch { broadcast.onMessage(from, message) } }
        ownership.broadcast = broadcast
        ownership.configure(env.configuration)
        process.scope.launch { catalogue.run() }
        process.scope.launch { ownership.run() }
        val front = JobFront(store, catalogue, process)
        running = RunningEntry(process, ownership, front, PendingCounts(catalogue, process), network)
    }

    private fun ownership(
        process: VirtualProcess,
        store: EntryStore,
        catalogue: StateCatalogue,
    ): Ownership {
        val workers =
            EntryWorkers(
                entryId = id,
                process = process,
                time = env.time,
                random = env.random,
                machines = env.machines,
                networkFaults = env.networkFaults,
                trace = env.trace,
                isUndisturbed = { isUndisturbed(process) },
                beforeStartOrder = ::pauseBeforeOrder,
            )
        return Ownership(
            entryId = id,
            ports = OwnerPorts(store, workers, null, PlatformWorkerList(store, fuzzLog), null),
            catalogue = catalogue,
            clock = process,
            settings = OwnerSettings(),
            limits = { EngineLimits() },
            log = fuzzLog,
            rank = { rank },
        )
    }

    private fun isUndisturbed(
        process: VirtualProcess,
        forMillis: Long = UNDISTURBED_MILLIS,
    ): Boolean {
        val since = env.time.nowMillis - forMillis
        return process.undisturbedSinceMillis < since && env.storeFaults.undisturbedSinceMillis < since
    }

    private fun pauseBeforeOrder() {
        pendingOrderPause?.invoke()
        pendingOrderPause = null
    }

    /** Ends the process immediately, without a shutdown. */
    fun kill() {
        val ended = running ?: return
        env.trace.add { "entry $id is killed, owner $isOwner" }
        ended.process.kill()
        isKilled = true
        running = null
    }

    /** Requests a graceful stop of the process, and ends it after [graceMillis]. */
    fun stop(graceMillis: Long) {
        val ended = running ?: return
        env.trace.add { "entry $id is stopped, owner $isOwner" }
        ended.isStopping = true
        ended.process.step { ended.ownership.stop() }
        env.time.after(graceMillis) {
            ended.process.kill()
            if (running === ended) {
                earlierDisruptionsEndMillis = minOf(calmSinceMillis, env.time.nowMillis)
                running = null
            }
        }
    }

    /** Pauses the process for [forMillis] after [steps] more steps, or just before its next start order if null. */
    fun pause(
        steps: Int?,
        forMillis: Long,
        stopsMonotonicClock: Boolean,
    ) {
        val paused = running?.process ?: return
        env.trace.add {
            "entry $id is about to pause for $forMillis ms, owner $isOwner, monotonic clock stops $stopsMonotonicClock"
        }
        if (steps != null) {
            paused.pauseAfter(steps, forMillis, stopsMonotonicClock)
        } else {
            pendingOrderPause = {
                env.trace.add { "entry $id pauses just before a start order" }
                paused.pauseAfter(0, forMillis, stopsMonotonicClock)
                paused.pauseNow()
            }
        }
    }

    /** Submits a job; [onOutcome] receives the answer to the caller, and is not called if there is none. */
    fun submit(
        jobId: String,
        record: JobRecord,
        waitMillis: Long,
        onOutcome: (SubmitOutcome) -> Unit,
    ) {
        call(onOutcome) { front -> front.submit(jobId, record, front.deadline(waitMillis)) }
    }

    /** Looks up a job; [onOutcome] receives the answer to the caller, and is not called if there is none. */
    fun lookup(
        jobId: String,
        waitMillis: Long,
        onOutcome: (JobLookup) -> Unit,
    ) {
        call(onOutcome) { front -> front.lookup(jobId, front.deadline(waitMillis)) }
    }

    /** Cancels a job; [onOutcome] receives the answer to the caller, and is not called if there is none. */
    fun cancel(
        jobId: String,
        waitMillis: Long,
        onOutcome: (CancelOutcome) -> Unit,
    ) {
        call(onOutcome) { front -> front.cancel(jobId, front.deadline(waitMillis)) }
    }

    /** Returns the answer to a count of the waiting jobs; null if the process has been disturbed lately. */
    fun count(): PendingCount? {
        val asked = running ?: return null
        val isInTouch = isUndisturbed(asked.process, CONTACT_MILLIS)
        return if (isInTouch) asked.pendingCounts.of(QUEUE) else null
    }

    private fun <T> call(
        onOutcome: (T) -> Unit,
        action: suspend (JobFront) -> T,
    ) {
        val called = running ?: return
        env.time.after(1) {
            called.process.step {
                called.process.scope.launch {
                    val outcome = action(called.front)
                    env.time.after(1) { onOutcome(outcome) }
                }
            }
        }
    }

    // Like the production entry, leaves a part of the caller's wait for the transfer of the answer.
    private fun JobFront.deadline(waitMillis: Long): Long =
        checkNotNull(process).monotonicMillis() + (waitMillis * WAIT_SHARE).toLong()

    private companion object {
        const val UNDISTURBED_MILLIS = 5_000L
        const val CONTACT_MILLIS = 4_000L
        const val WAIT_SHARE = 0.8
    }
}
