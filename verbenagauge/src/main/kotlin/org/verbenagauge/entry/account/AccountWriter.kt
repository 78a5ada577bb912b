package org.verbenagauge.entry.account

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.AccountMessage
import org.verbenagauge.entry.peers.PeerListener
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.store.ObjectStore
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.WriteOutcome
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

private const val TICK_MILLIS = 100L
private const val HEAD_MILLIS = 1_000L
private const val MAX_SEALED = 16

/**
 * What the account of this entry instance holds.
 *
 * @property head head of the chain as `sequence:hash`, or null before the first record.
 * @property records records of the chain.
 * @property counted requests that were only counted.
 * @property pendingSegments segments that are not stored yet.
 * @property pendingBytes compressed bytes of these.
 * @property copyBytes compressed bytes of segments held for peers.
 */
@Serializable
public data class AccountStatus(
    val head: String?,
    val records: Long,
    val counted: Long,
    val pendingSegments: Int,
    val pendingBytes: Long,
    val copyBytes: Long,
)

/**
 * Keeps the account of this entry instance.
 *
 * A request costs one record in memory and no I/O. Segments are compressed and stored in the background; while the
 * object store does not answer, they wait in memory within bounds, and a peer of another availability zone holds a copy.
 */
public class AccountWriter internal constructor(
    private val objects: ObjectStore,
    network: PeerNetwork,
    private val zoneId: String,
    zoneOf: (PeerId) -> String?,
    private val clock: Clock,
    private val log: EventLog,
    chainLimits: ChainLimits = ChainLimits(),
    backlogLimits: BacklogLimits = BacklogLimits(),
) : Child,
    JobObserver,
    PeerListener {
    private val lock = ReentrantLock()
    private val id = chainOf(network.localId)
    private val chain = AccountChain(id, chainLimits)
    private val backlog = AccountBacklog(backlogLimits)
    private val counter = AnswerCounter()
    private val sealed = ArrayDeque<SealedSegment>()
    private val peers = AccountPeers(network, zoneOf, zoneId)
    private var countingSinceMillis: Long? = null
    private var countedRequests = 0L
    private var unsentHead = false
    private var headSentAtMillis = Long.MIN_VALUE / 2
    private var changeVersion = 0L
    private var closed = false
    private var reportedRoom = Room.FREE

    override val name: String = "account"

    init {
        append(AccountEvent.Opened(zoneId))
        network.subscribe(this)
    }

    override suspend fun answered(record: JobRecord) {
        val event = answeredEvent(record)
        val json = encode(event)
        lock.withLock {
            when {
                closed -> Unit
                mayRecord(event) -> appendEncoded(json)
                else -> count(event)
            }
        }
    }

    override fun received(
        from: PeerId,
        message: PeerMessage,
    ) {
        when (message) {
            is AccountMessage.Head -> witness(from, message)
            is AccountMessage.Copy -> hold(from, message)
            is AccountMessage.CopyHeld -> lock.withLock { backlog.copied(message.name) }
            is AccountMessage.Stored -> lock.withLock { backlog.release(message.name, from) }
            else -> Unit
        }
    }

    /** Ties the head of the sequence of changes into the chain. */
    public fun changed(state: ControlState) {
        lock.withLock {
            if (state.version <= changeVersion || closed) return
            changeVersion = state.version
            append(AccountEvent.ChangeHead(state.version, state.lastHash))
        }
    }

    /** Returns what this account holds now. */
    public fun status(): AccountStatus =
        lock.withLock {
            val head = chain.head
            AccountStatus(
                head = head?.let { "${it.chain}:${it.sequence}:${it.hash}" },
                records = (head?.sequence ?: -1) + 1,
                counted = countedRequests,
                pendingSegments = backlog.pendingCount + sealed.size,
                pendingBytes = backlog.pendingBytes,
                copyBytes = backlog.copyBytes,
            )
        }

    override suspend fun run() {
        lock.withLock { backlog.restart() }
        coroutineScope {
            launch { uploadForever() }
            while (true) {
                tick()
                delay(TICK_MILLIS)
            }
        }
    }

    /** Ends the chain and stores what is left until [stopByMillis] on the monotonic clock. */
    public suspend fun close(stopByMillis: Long) {
        lock.withLock {
            if (closed) return
            appendCounts()
            append(AccountEvent.Closed)
            chain.seal()?.let(sealed::addLast)
            closed = true
            backlog.restart()
            backlog.adoptCopies()
        }
        while (clock.monotonicMillis() < stopByMillis) {
            encodeSealed()
            while (uploadNext(urgent = true)) Unit
            copyDue(urgent = true)
            if (lock.withLock { backlog.uncopiedCount == 0 }) break
            delay(TICK_MILLIS)
        }
        val left = lock.withLock { backlog.uncopiedCount }
        if (left > 0) log.write(Event.ACCOUNT_LOST, "$left segments of chain '$id' are neither stored nor copied")
    }

    /** Closes old segments, tells peers the head, and copies what the store does not take. */
    internal fun tick() {
        val nowMillis = clock.monotonicMillis()
        lock.withLock {
            val oldest = listOfNotNull(chain.openSinceMillis, countingSinceMillis).minOrNull()
            if (oldest != null && nowMillis - oldest >= backlog.sealAfterMillis) {
                appendCounts()
                chain.seal()?.let(sealed::addLast)
            }
        }
        encodeSealed()
        copyDue(urgent = false)
        headDue(nowMillis)?.let(peers::sendHead)
    }

    /** Uploads the next segment; true when it is stored. */
    internal suspend fun uploadNext(urgent: Boolean = false): Boolean {
        val segment = lock.withLock { backlog.nextUpload(clock.monotonicMillis(), urgent) } ?: return false
        val stored =
            when (objects.putIfAbsent(segment.name, segment.content)) {
                is WriteOutcome.Applied -> true
                is WriteOutcome.Conflict -> settle(segment)
                is WriteOutcome.Unavailable, is WriteOutcome.Unknown -> false
            }
        lock.withLock {
            if (stored) backlog.stored(segment.name) else backlog.failed(segment.name, clock.monotonicMillis())
        }
        if (stored) peers.stored(segment.name)
        return stored
    }

    private suspend fun uploadForever() {
        while (true) if (!uploadNext()) delay(TICK_MILLIS)
    }

    // The name is taken: by this segment, when an answer was lost or a peer has stored its copy.
    private suspend fun settle(segment: SegmentObject): Boolean {
        val read = objects.get(segment.name)
        val standing = (read as? ReadOutcome.Found)?.value ?: return false
        if (standing.contentEquals(segment.content)) return true
        log.write(Event.ACCOUNT_CONFLICT, "object '${segment.name}' is not the segment that this entry wrote")
        val outcome = objects.putIfAbsent("${segment.name}-conflict", segment.content)
        return outcome is WriteOutcome.Applied || outcome is WriteOutcome.Conflict
    }

    private fun witness(
        from: PeerId,
        message: AccountMessage.Head,
    ) {
        if (hashBytes(message.hash) == null) return
        val head = ChainHead(chainOf(from), message.sequence, message.hash, message.time)
        lock.withLock {
            val event = if (closed) null else chain.witness(head, clock.wallMillis())
            if (event != null) appendEncoded(encode(event), worthTelling = false)
        }
    }

    private fun hold(
        from: PeerId,
        message: AccountMessage.Copy,
    ) {
        if (!message.name.startsWith(ACCOUNT_PREFIX)) return
        val nowMillis = clock.monotonicMillis()
        val held = lock.withLock { !closed && backlog.hold(message.name, message.content, nowMillis, from) }
        if (held) peers.copyHeld(from, message.name)
    }

    private fun mayRecord(event: AccountEvent.Answered): Boolean =
        when (backlog.room) {
            Room.FREE -> sealed.size < MAX_SEALED
            Room.SCARCE -> event.teamId != null && sealed.size < MAX_SEALED
            Room.NONE -> false
        }

    private fun count(event: AccountEvent.Answered) {
        counter.add(event)
        countedRequests++
        if (countingSinceMillis == null) countingSinceMillis = clock.monotonicMillis()
    }

    private fun appendCounts() {
        countingSinceMillis = null
        counter.take()?.let(::append)
    }

    private fun append(event: AccountEvent) = lock.withLock { appendEncoded(encode(event)) }

    private fun appendEncoded(
        json: String,
        worthTelling: Boolean = true,
    ) {
        chain.append(json, clock.monotonicMillis(), clock.wallMillis())?.let(sealed::addLast)
        if (worthTelling) unsentHead = true
    }

    private fun encode(event: AccountEvent) = accountJson.encodeToString(AccountEvent.serializer(), event)

    @Synchronized
    private fun encodeSealed() {
        while (true) {
            val segment = lock.withLock { sealed.firstOrNull() } ?: break
            val content = segment.encode()
            lock.withLock {
                sealed.removeFirst()
                backlog.add(segment.name, content, clock.monotonicMillis())
            }
        }
        reportRoom()
    }

    private fun reportRoom() {
        val room = lock.withLock { backlog.room }
        if (room == reportedRoom) return
        reportedRoom = room
        when (room) {
            Room.FREE -> log.write(Event.ACCOUNT_ROOM_FREE, "chain '$id' records every request again")
            Room.SCARCE -> log.write(Event.ACCOUNT_ROOM_SCARCE, "chain '$id' only counts requests without a team")
            Room.NONE -> log.write(Event.ACCOUNT_ROOM_GONE, "chain '$id' only counts requests")
        }
    }

    private fun copyDue(urgent: Boolean) {
        lock.withLock { backlog.nextCopies(clock.monotonicMillis(), urgent) }.forEach(peers::sendCopy)
    }

    private fun headDue(nowMillis: Long): ChainHead? =
        lock.withLock {
            if (!unsentHead || nowMillis - headSentAtMillis < HEAD_MILLIS) return null
            unsentHead = false
            headSentAtMillis = nowMillis
            chain.head
        }
}
