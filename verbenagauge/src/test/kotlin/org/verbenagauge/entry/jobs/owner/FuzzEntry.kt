package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.launch
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.front.CancelOutcome
import org.verbenagauge.entry.jobs.front.JobFront
import org.verbenagauge.entry.jobs.front.JobLookup
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.front.SubmitOutcome
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.platform.PlatformWorkerList
import kotlin.random.Random

/** Log of all entries of a play. */
internal val fuzzLog: EventLog by lazy { EventLog("fuzz") }

/**
 * What all entries of a play share.
 *
 * @property machines machines of workers.
 * @property configuration configuration in force.
 */
internal class FuzzWorld(
    val time: VirtualTime,
    val random: Random,
    val store: VirtualStore,
    val trouble: StoreTrouble,
    val wire: WireTrouble,
    val machines: List<WorkerMachine>,
    val oracle: TakeoverOracle,
    val trace: FuzzTrace,
    val configuration: JobsConfiguration,
)

/** One entry: process after process, each with the real parts that take jobs in and decide. */
internal class FuzzEntry(
    val id: String,
    private val rank: Int,
    private val wallBaseMillis: Long,
    private val world: FuzzWorld,
    private val all: () -> List<FuzzEntry>,
) {
    private class Life(
        val process: VirtualProcess,
        val ownership: Ownership,
        val front: JobFront,
        val peers: EntryPeers,
    )

    private var life: Life? = null
    private var incarnation = 0L
    private var orderPause: (() -> Unit)? = null

    /** The process that runs, or null. */
    val process: VirtualProcess? get() = life?.process

    /** Whether it decides on placement. */
    val isOwner: Boolean get() = life?.ownership?.isOwner == true

    private val peers: EntryPeers? get() = life?.peers

    /** Starts a process. */
    fun start() {
        if (life != null) return
        incarnation++
        world.trace.add { "entry $id starts" }
        val process = VirtualProcess(world.time, world.random, wallBaseMillis, world.oracle::failed)
        val store = EntryStore(id, process, world.time, world.store, world.trouble, world.trace)
        val catalogue = StateCatalogue(store, process)
        val network =
            EntryPeers(PeerId(id, incarnation), process, world.time, world.wire) {
                all().filter { it !== this }.mapNotNull { it.peers }
            }
        val ownership = ownership(process, store, catalogue)
        val broadcast = OwnerBroadcast(network, process) { it.forEach(catalogue::recordState) }
        network.subscribe { from, message -> process.scope.launch { broadcast.onMessage(from, message) } }
        ownership.broadcast = broadcast
        ownership.configure(world.configuration)
        process.scope.launch { catalogue.run() }
        process.scope.launch { ownership.run() }
        life = Life(process, ownership, JobFront(store, catalogue, process), network)
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
                time = world.time,
                random = world.random,
                machines = world.machines,
                wire = world.wire,
                trace = world.trace,
                isInTouch = { isInTouch(process) },
                onOrder = ::pauseAtOrder,
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

    private fun isInTouch(process: VirtualProcess): Boolean {
        val since = world.time.nowMillis - CONTACT_MILLIS
        return process.disturbedAtMillis < since && world.trouble.disturbedAtMillis < since
    }

    private fun pauseAtOrder() {
        orderPause?.invoke()
        orderPause = null
    }

    /** Ends the process at once. */
    fun kill() {
        val ended = life ?: return
        world.trace.add { "entry $id is killed, owner $isOwner" }
        ended.process.kill()
        life = null
    }

    /** Asks the process to stop, and ends it after [graceMillis]. */
    fun stop(graceMillis: Long) {
        val ended = life ?: return
        world.trace.add { "entry $id is stopped, owner $isOwner" }
        ended.process.step { ended.ownership.stop() }
        world.time.after(graceMillis) {
            ended.process.kill()
            if (life === ended) life = null
        }
    }

    /** Pauses the process for [forMillis] after [steps] more steps, or just before its next order when null. */
    fun pause(
        steps: Int?,
        forMillis: Long,
        leavesSteadyClockOut: Boolean,
    ) {
        val paused = life?.process ?: return
        world.trace.add {
            "entry $id is about to pause for $forMillis ms, owner $isOwner, steady clock stops $leavesSteadyClockOut"
        }
        if (steps != null) {
            paused.pauseAfter(steps, forMillis, leavesSteadyClockOut)
        } else {
            orderPause = {
                world.trace.add { "entry $id pauses just before an order" }
                paused.pauseAfter(0, forMillis, leavesSteadyClockOut)
                paused.pauseNow()
            }
        }
    }

    /** Hands a job in; [onOutcome] is told what a caller hears, if it hears anything. */
    fun submit(
        jobId: String,
        record: JobRecord,
        waitMillis: Long,
        onOutcome: (SubmitOutcome) -> Unit,
    ) {
        call(onOutcome) { front -> front.submit(jobId, record, front.deadline(waitMillis)) }
    }

    /** Asks for a job. */
    fun lookup(
        jobId: String,
        waitMillis: Long,
        onOutcome: (JobLookup) -> Unit,
    ) {
        call(onOutcome) { front -> front.lookup(jobId, front.deadline(waitMillis)) }
    }

    /** Cancels a job. */
    fun cancel(
        jobId: String,
        waitMillis: Long,
        onOutcome: (CancelOutcome) -> Unit,
    ) {
        call(onOutcome) { front -> front.cancel(jobId, front.deadline(waitMillis)) }
    }

    private fun <T> call(
        onOutcome: (T) -> Unit,
        action: suspend (JobFront) -> T,
    ) {
        val called = life ?: return
        world.time.after(1) {
            called.process.step {
                called.process.scope.launch {
                    val outcome = action(called.front)
                    world.time.after(1) { onOutcome(outcome) }
                }
            }
        }
    }

    // As the real entry leaves a part of the caller's wait for the way back.
    private fun JobFront.deadline(waitMillis: Long): Long =
        checkNotNull(process).monotonicMillis() + (waitMillis * WAIT_SHARE).toLong()

    private companion object {
        const val CONTACT_MILLIS = 5_000L
        const val WAIT_SHARE = 0.8
    }
}
