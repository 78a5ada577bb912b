package org.verbenagauge.entry.account

import org.verbenagauge.entry.model.HybridTime
import org.verbenagauge.entry.model.heard
import org.verbenagauge.entry.model.next

/**
 * Bounds of one chain.
 *
 * @property maxSegmentRecords records of one segment.
 * @property maxSegmentBytes bytes of the records of one segment, before compression.
 * @property maxAheadMillis how far the clock of a peer may be ahead and still be followed.
 */
internal data class ChainLimits(
    val maxSegmentRecords: Int = 4_096,
    val maxSegmentBytes: Int = 131_072,
    val maxAheadMillis: Long = 60_000,
)

/**
 * Head of a chain.
 *
 * @property chain chain.
 * @property sequence sequence of the last record.
 * @property hash hash after the last record.
 * @property time time of the last record.
 */
internal data class ChainHead(
    val chain: ChainId,
    val sequence: Long,
    val hash: String,
    val time: HybridTime,
)

/** Decides position, time and hash of each record of one run of an entry instance, and cuts segments. */
internal class AccountChain(
    private val id: ChainId,
    private val limits: ChainLimits,
) {
    private val hash = ChainHash(chainStart(id))
    private val witnessed = HashMap<ChainId, Long>()
    private var nextSequence = 0L
    private var time = HybridTime(0, 0)
    private var lines = ArrayList<ByteArray>()
    private var lineBytes = 0
    private var segmentHeader = header()

    /** Wall clock at which the first record of the open segment was appended, or null when it is empty. */
    var openSinceMillis: Long? = null
        private set

    /** Head of the chain, or null before the first record. */
    val head: ChainHead? get() = if (nextSequence == 0L) null else ChainHead(id, nextSequence - 1, hash.hexDigits, time)

    /** Appends the event with JSON [eventJson]; returns a segment when this record has filled it. */
    fun append(
        eventJson: String,
        nowMillis: Long,
        wallMillis: Long,
    ): SealedSegment? {
        time = time.next(wallMillis)
        val line = recordLine(eventJson)
        hash.append(line)
        lines.add(line)
        lineBytes += line.size
        nextSequence++
        if (openSinceMillis == null) openSinceMillis = nowMillis
        val full = lines.size >= limits.maxSegmentRecords || lineBytes >= limits.maxSegmentBytes
        return if (full) seal() else null
    }

    /** Takes the [head] of a peer into the chain; null when it tells nothing new. */
    fun witness(
        head: ChainHead,
        wallMillis: Long,
    ): AccountEvent.PeerHead? {
        val known = witnessed[head.chain]
        if (head.chain == id || (known != null && head.sequence <= known)) return null
        if (known == null && witnessed.size >= MAX_WITNESSED_CHAINS) witnessed.remove(witnessed.keys.first())
        witnessed[head.chain] = head.sequence
        time = time.heard(head.time, wallMillis, limits.maxAheadMillis)
        return AccountEvent.PeerHead(head.chain, head.sequence, head.hash)
    }

    /** Closes the open segment and returns it, or null when it holds no record. */
    fun seal(): SealedSegment? {
        if (lines.isEmpty()) return null
        val segment = SealedSegment(segmentHeader, lines, SegmentFooter(nextSequence - 1, hash.hexDigits))
        lines = ArrayList()
        lineBytes = 0
        openSinceMillis = null
        segmentHeader = header()
        return segment
    }

    private fun header() = SegmentHeader(ACCOUNT_FORMAT, id, nextSequence, hash.hexDigits)

    private fun recordLine(eventJson: String): ByteArray {
        val text =
            StringBuilder(eventJson.length + ENVELOPE_CHARS)
                .append("{\"sequence\":")
                .append(nextSequence)
                .append(",\"time\":{\"wallMillis\":")
                .append(time.wallMillis)
                .append(",\"counter\":")
                .append(time.counter)
                .append("},\"event\":")
                .append(eventJson)
                .append('}')
        return text.toString().encodeToByteArray()
    }

    private companion object {
        const val ENVELOPE_CHARS = 96
        const val MAX_WITNESSED_CHAINS = 4_096
    }
}
