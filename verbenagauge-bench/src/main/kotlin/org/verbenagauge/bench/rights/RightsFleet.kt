package org.verbenagauge.bench.rights

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.verbenagauge.entry.model.HolderId
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.rights.RightsAction
import org.verbenagauge.entry.rights.RightsView
import org.verbenagauge.entry.state.control.RightsHolder
import org.verbenagauge.entry.state.control.RightsState
import java.util.PriorityQueue
import kotlin.random.Random

private const val TICK_MILLIS = 50L
private const val MIN_DELAY_MILLIS = 1L
private const val MAX_DELAY_MILLIS = 3L
private const val FRAME_OVERHEAD_BYTES = 28

// As the transport between entries encodes.
@OptIn(ExperimentalSerializationApi::class)
private val cbor =
    Cbor {
        encodeDefaults = false
        preferCborLabelsOverNames = true
        useDefiniteLengthEncoding = true
    }

/**
 * Team of a measured fleet.
 *
 * @property limit requests running at once over the fleet.
 * @property meanRunMillis mean run of its requests.
 */
internal class MeasuredTeam(
    val id: String,
    val weight: Int,
    val limit: Int,
    val meanRunMillis: Long,
) {
    val resource = Resource.Team(id)
}

/**
 * What a measured fleet consists of.
 *
 * @property rightsMove whether rights move; otherwise each entry keeps a fixed part.
 * @property sharesOverFleet whether each entry counts the service of the others.
 */
internal class FleetShape(
    val entries: Int,
    val pools: Int,
    val workersPerPool: Int,
    val slotsPerWorker: Int,
    val teams: List<MeasuredTeam>,
    val rightsMove: Boolean = true,
    val sharesOverFleet: Boolean = true,
    val seed: Long = 1,
) {
    val poolIds = List(pools) { "pool-$it" }

    fun slots(poolId: String) = List(workersPerPool) { Resource.Slot("$poolId-worker-$it") }
}

/** Real cores in virtual time, on a network without faults, with requests that never stop waiting. */
internal class RightsFleet(
    private val shape: FleetShape,
    private val started: (teamId: String, runMillis: Long, nowMillis: Long) -> Unit,
) {
    private val random = Random(shape.seed)
    private val events = PriorityQueue<Event>(compareBy({ it.atMillis }, { it.order }))
    private val entries = List(shape.entries) { MeasuredEntry(PeerId("entry-$it", it + 1L), shape) }
    private val byId = entries.associateBy { it.id }
    private val members = byId.keys
    private var order = 0L
    var nowMillis = 0L
        private set
    var running = 0
        private set
    var sentBytes = 0L
        private set
    var sentMessages = 0L
        private set

    init {
        val view = view()
        entries.forEach { entry ->
            entry.core.viewChanged(view)
            at(random.nextLong(TICK_MILLIS)) { tick(entry) }
        }
    }

    /** Sets how many requests of [teamId] for [poolId] wait at the entry [index] from now on. */
    fun setWaiting(
        index: Int,
        poolId: String,
        teamId: String,
        waiting: Int,
    ) {
        val entry = entries[index]
        entry.setWaiting(poolId, teamId, waiting)
        startAll(entry, poolId)
    }

    fun runUntil(endMillis: Long) {
        while (events.isNotEmpty() && events.peek().atMillis <= endMillis) {
            val event = events.poll()
            nowMillis = event.atMillis
            event.run()
        }
        nowMillis = endMillis
    }

    private fun tick(entry: MeasuredEntry) {
        at(nowMillis + TICK_MILLIS) { tick(entry) }
        if (shape.rightsMove) perform(entry, entry.core.tick(members, 1, nowMillis))
        shape.poolIds.forEach { startAll(entry, it) }
    }

    private fun startAll(
        entry: MeasuredEntry,
        poolId: String,
    ) {
        while (true) {
            val start = entry.startOne(poolId) ?: return
            val runMillis = 1 + random.nextLong(2 * start.team.meanRunMillis)
            running++
            started(start.team.id, runMillis, nowMillis)
            at(nowMillis + runMillis) { end(entry, poolId, start) }
        }
    }

    private fun end(
        entry: MeasuredEntry,
        poolId: String,
        start: Start,
    ) {
        running--
        entry.core.ended(poolId, start.team.id)
        perform(entry, entry.core.release(start.team.resource, nowMillis))
        perform(entry, entry.core.release(start.slot, nowMillis))
        startAll(entry, poolId)
    }

    private fun perform(
        entry: MeasuredEntry,
        actions: List<RightsAction>,
    ) = actions.forEach { action ->
        when (action) {
            is RightsAction.Send -> send(entry, action)
            is RightsAction.Gained -> shape.poolIds.forEach { startAll(entry, it) }
            is RightsAction.Propose -> Unit
        }
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun send(
        entry: MeasuredEntry,
        action: RightsAction.Send,
    ) {
        sentMessages++
        sentBytes += FRAME_OVERHEAD_BYTES + cbor.encodeToByteArray(PeerMessage.serializer(), action.message).size
        at(nowMillis + random.nextLong(MIN_DELAY_MILLIS, MAX_DELAY_MILLIS)) {
            val receiver = byId.getValue(action.to)
            perform(receiver, receiver.core.received(entry.id, action.message, nowMillis))
        }
    }

    private fun view(): RightsView {
        val limits = HashMap<Resource, Int>()
        shape.teams.forEach { limits[it.resource] = it.limit }
        val poolIdByInstance = HashMap<String, String>()
        shape.poolIds.forEach { poolId ->
            shape.slots(poolId).forEach {
                limits[it] = shape.slotsPerWorker
                poolIdByInstance[it.instanceId] = poolId
            }
        }
        return RightsView(
            version = 1,
            rights = RightsState(entries.map { RightsHolder(HolderId(it.id, 1), 1_000) }, grants(limits)),
            limits = limits,
            poolIdByInstance = poolIdByInstance,
            weightByTeam = shape.teams.associate { it.id to it.weight },
        )
    }

    // Rights that move start with one holder each; a fixed split gives each entry its part.
    private fun grants(limits: Map<Resource, Int>) =
        limits.mapValues { (resource, limit) ->
            val first = resource.hashCode().mod(entries.size)
            if (shape.rightsMove) {
                listOf(RightsState.Grant(entries[first].id, limit))
            } else {
                entries.mapIndexed { index, entry ->
                    val part =
                        org.verbenagauge.entry.rights.fixedSplit(
                            limit,
                            (index + first) % entries.size,
                            entries.size,
                        )
                    RightsState.Grant(entry.id, part)
                }
            }
        }

    private fun at(
        atMillis: Long,
        run: () -> Unit,
    ) {
        events += Event(atMillis, order++, run)
    }

    private class Event(
        val atMillis: Long,
        val order: Long,
        val run: () -> Unit,
    )
}

/** A request that has started. */
internal class Start(
    val team: MeasuredTeam,
    val slot: Resource.Slot,
)
