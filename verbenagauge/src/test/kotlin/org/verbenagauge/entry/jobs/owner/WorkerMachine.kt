package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.engine.SERVICE
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.platform.WireAmount
import org.verbenagauge.platform.WireServer
import org.verbenagauge.platform.wireJson

/** Place of the platform's list of workers. */
internal val workerPlace = RowPlace("servers")

/** A machine that runs one life of a worker after another, and writes the life's entry into the platform's list. */
internal class WorkerMachine(
    val index: Int,
    private val capacityCpuMillis: Long,
    private val time: VirtualTime,
    private val store: VirtualStore,
    private val trouble: StoreTrouble,
    private val trace: FuzzTrace,
    private val begin: (workerId: String, number: Int) -> WorkerLife,
) {
    private val machineId = "machine-$index"
    private val port = FIRST_PORT + index
    private var lives = 0
    private var writtenId: String? = null
    private var lastBeatMillis = 0L
    private var mutedUntilMillis = 0L

    /** Address in the list. */
    val address = "127.0.0.1:$port"

    /** Identity of the newest life. */
    var workerId = "w$index"
        private set

    /** The life that is up, or null. */
    var life: WorkerLife? = null
        private set

    /** Starts the first life and the heartbeats. */
    fun start(firstBeatMillis: Long) {
        up()
        time.after(firstBeatMillis, ::beat)
        time.after(0, ::expire)
    }

    private fun up() {
        lives++
        life = begin(workerId, index * MOST_LIVES + lives)
    }

    /** Whether the list holds the life that is up. */
    val isListed: Boolean get() = writtenId != null && writtenId == workerId

    /** Lets no heartbeat through for [forMillis]. */
    fun mute(forMillis: Long) {
        mutedUntilMillis = maxOf(mutedUntilMillis, time.nowMillis + forMillis)
        trace.add { "$workerId is not heard by the store for $forMillis ms" }
    }

    /** Lets heartbeats through again. */
    fun unmute() {
        mutedUntilMillis = 0
    }

    /** Ends the life; the next begins after [downMillis], under the same identity unless [isRenamed]. */
    fun crash(
        downMillis: Long,
        isRenamed: Boolean,
    ) {
        val ended = life ?: return
        trace.add { "$workerId crashes, renamed $isRenamed" }
        ended.crash()
        life = null
        time.after(downMillis) {
            if (isRenamed) workerId = "w$index-${lives + 1}"
            up()
            trace.add { "$workerId is up as life ${life?.id}" }
            write()
        }
    }

    private fun beat() {
        time.after(BEAT_MILLIS, ::beat)
        write()
    }

    private fun write() {
        val current = life ?: return
        if (trouble.isDown || time.nowMillis < mutedUntilMillis) return
        lastBeatMillis = time.nowMillis
        if (writtenId == workerId && writtenBorn == current.bornUnixMillis) return
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
        store.apply(emptyList(), listOf(RowChange(workerPlace, workerId, bytes)))
        if (writtenId != workerId) trace.add { "$workerId is listed" }
        // An entry of an earlier life under another identity expires on its own.
        writtenId?.takeIf { it != workerId }?.let { earlier -> time.after(EXPIRY_MILLIS) { remove(earlier) } }
        writtenId = workerId
        writtenBorn = current.bornUnixMillis
    }

    private var writtenBorn = 0L

    private fun expire() {
        time.after(EXPIRY_CHECK_MILLIS, ::expire)
        val written = writtenId ?: return
        if (trouble.isDown || time.nowMillis - lastBeatMillis < EXPIRY_MILLIS) return
        trace.add { "$written expires from the list" }
        remove(written)
        writtenId = null
    }

    private fun remove(id: String) {
        if (store.row(workerPlace, id) != null) store.apply(emptyList(), listOf(RowChange(workerPlace, id, null)))
    }

    private companion object {
        const val FIRST_PORT = 4_000
        const val MOST_LIVES = 1_000
        const val BEAT_MILLIS = 1_500L

        // Three silent heartbeats.
        const val EXPIRY_MILLIS = 4_500L
        const val EXPIRY_CHECK_MILLIS = 200L
    }
}
