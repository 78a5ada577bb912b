package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.engine.SERVICE
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.platform.WireAmount
import org.verbenagauge.platform.WireServer
import org.verbenagauge.platform.wireJson

/** Row place of the platform's list of workers. */
internal val workerList = RowPlace("servers")

/** A machine that runs one incarnation of a worker after another, and maintains its row in the platform's list. */
internal class WorkerMachine(
    val index: Int,
    private val capacityCpuMillis: Long,
    private val time: VirtualTime,
    private val store: VirtualStore,
    private val storeFaults: StoreFaults,
    private val trace: FuzzTrace,
    private val createIncarnation: (workerId: String, number: Int) -> WorkerIncarnation,
) {
    private val machineId = "machine-$index"
    private val port = FIRST_PORT + index
    private var incarnations = 0
    private var listedId: String? = null
    private var lastHeartbeatMillis = 0L

    /** End of the latest dropping of heartbeats, in virtual time; may be in the future. */
    var suppressedUntilMillis = 0L
        private set

    /** Host and port, as in the list. */
    val address = "127.0.0.1:$port"

    /** Identity of the latest incarnation. */
    var workerId = "w$index"
        private set

    /** The running incarnation, or null if the worker is down. */
    var incarnation: WorkerIncarnation? = null
        private set

    /** Starts the first incarnation, the heartbeats and the check for their expiry. */
    fun start(firstHeartbeatMillis: Long) {
        startIncarnation()
        time.after(firstHeartbeatMillis, ::heartbeat)
        time.after(0, ::checkExpiry)
    }

    private fun startIncarnation() {
        incarnations++
        incarnation = createIncarnation(workerId, index * MAX_INCARNATIONS + incarnations)
    }

    /** Whether the list contains the identity of the latest incarnation. */
    val isListed: Boolean get() = listedId != null && listedId == workerId

    /** Drops the heartbeats for [forMillis]. */
    fun suppressHeartbeats(forMillis: Long) {
        suppressedUntilMillis = maxOf(suppressedUntilMillis, time.nowMillis + forMillis)
        trace.add { "$workerId sends no heartbeat to the store for $forMillis ms" }
    }

    /** Ends the dropping of heartbeats. */
    fun allowHeartbeats() {
        suppressedUntilMillis = minOf(suppressedUntilMillis, time.nowMillis)
    }

    /** Ends the incarnation; the next starts after [downMillis], with the same identity unless [isRenamed]. */
    fun crash(
        downMillis: Long,
        isRenamed: Boolean,
    ) {
        val ended = incarnation ?: return
        trace.add { "$workerId crashes, renamed $isRenamed" }
        ended.crash()
        incarnation = null
        time.after(downMillis) {
            if (isRenamed) workerId = "w$index-${incarnations + 1}"
            startIncarnation()
            trace.add { "$workerId starts as incarnation ${incarnation?.id}" }
            writeHeartbeat()
        }
    }

    private fun heartbeat() {
        time.after(HEARTBEAT_MILLIS, ::heartbeat)
        writeHeartbeat()
    }

    private fun writeHeartbeat() {
        val current = incarnation ?: return
        if (storeFaults.isDown || time.nowMillis < suppressedUntilMillis) return
        lastHeartbeatMillis = time.nowMillis
        if (listedId == workerId && listedBornUnixMillis == current.bornUnixMillis) return
        val entry =
            WireServer(
                service = SERVICE,
                address = address,
                zone = "z",
                state = "ready",
                capacity = WireAmount(cpu = capacityCpuMillis, memMb = 100_000),
                labels = listOf("a", "r1-$index"),
                machine = machineId,
                born = current.bornUnixMillis,
            )
        val bytes = wireJson.encodeToString(WireServer.serializer(), entry).encodeToByteArray()
        store.apply(emptyList(), listOf(RowChange(workerList, workerId, bytes)))
        if (listedId != workerId) trace.add { "$workerId is listed" }
        // The row of an earlier incarnation with another identity expires separately.
        listedId?.takeIf { it != workerId }?.let { earlier -> time.after(EXPIRY_MILLIS) { remove(earlier) } }
        listedId = workerId
        listedBornUnixMillis = current.bornUnixMillis
    }

    private var listedBornUnixMillis = 0L

    private fun checkExpiry() {
        time.after(EXPIRY_CHECK_MILLIS, ::checkExpiry)
        val expiredId = listedId ?: return
        if (storeFaults.isDown || time.nowMillis - lastHeartbeatMillis < EXPIRY_MILLIS) return
        trace.add { "$expiredId expires from the list" }
        remove(expiredId)
        listedId = null
    }

    private fun remove(id: String) {
        if (store.row(workerList, id) != null) store.apply(emptyList(), listOf(RowChange(workerList, id, null)))
    }

    private companion object {
        const val FIRST_PORT = 4_000
        const val MAX_INCARNATIONS = 1_000
        const val HEARTBEAT_MILLIS = 1_500L

        // Three missed heartbeats.
        const val EXPIRY_MILLIS = 4_500L
        const val EXPIRY_CHECK_MILLIS = 200L
    }
}
