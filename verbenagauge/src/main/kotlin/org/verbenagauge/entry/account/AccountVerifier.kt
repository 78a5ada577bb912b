package org.verbenagauge.entry.account

import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.model.HybridTime
import java.io.IOException

/** Checks one chain, segment after segment in the order of their names. */
internal class ChainVerifier(
    private val chain: ChainId,
    private val findings: MutableList<AccountFinding>,
    private val onRecord: (AccountRecord) -> Unit,
) {
    private var nextSequence = 0L
    private var hash = ChainHash(chainStart(chain))
    private var time = HybridTime(Long.MIN_VALUE, 0)
    private var firstWallMillis: Long? = null
    private var zoneId: String? = null
    private var answered = 0L
    private var counted = 0L
    private var records = 0L
    private var closed = false

    /** Checks the segment [name] with [content]. */
    fun segment(
        name: String,
        content: ByteArray,
    ) {
        val segment =
            try {
                parseSegment(content)
            } catch (e: IOException) {
                return report(FindingKind.UNREADABLE, name, e.message.orEmpty())
            } catch (e: SerializationException) {
                return report(
                    FindingKind.UNREADABLE,
                    name,
                    e.message
                        .orEmpty()
                        .lineSequence()
                        .first(),
                )
            } catch (e: IllegalArgumentException) {
                return report(
                    FindingKind.UNREADABLE,
                    name,
                    e.message
                        .orEmpty()
                        .lineSequence()
                        .first(),
                )
            }
        val header = segment.header
        if (header.format != ACCOUNT_FORMAT || segmentName(header.chain, header.firstSequence) != name) {
            return report(FindingKind.MISPLACED, name, "its first line names '${header.chain}' ${header.firstSequence}")
        }
        follow(name, header)
        segment.records.forEachIndexed { index, record -> take(name, record, segment.lines[index]) }
        if (segment.footer.lastSequence != nextSequence - 1 || segment.footer.hash != hash.hexDigits) {
            report(FindingKind.CHANGED, name, "the records give hash ${hash.hexDigits.take(SHOWN_DIGITS)} at the end")
            hash = ChainHash(hashBytes(segment.footer.hash) ?: ByteArray(0))
        }
    }

    /** Returns what is known of the chain; [witnessedThrough] comes from other chains. */
    fun report(witnessedThrough: Long) =
        ChainReport(
            chain = chain,
            zoneId = zoneId,
            records = records,
            answered = answered,
            counted = counted,
            firstWallMillis = firstWallMillis ?: 0,
            lastWallMillis = if (firstWallMillis == null) 0 else time.wallMillis,
            lastSequence = nextSequence - 1,
            headHash = hash.hexDigits,
            closed = closed,
            witnessedThrough = witnessedThrough,
        )

    private fun follow(
        name: String,
        header: SegmentHeader,
    ) {
        val first = header.firstSequence
        when {
            first > nextSequence ->
                report(FindingKind.GAP, name, "records $nextSequence to ${first - 1} are missing")
            first < nextSequence ->
                report(FindingKind.DISORDERED, name, "record $first stands in an earlier segment as well")
            header.previousHash != hash.hexDigits ->
                report(FindingKind.BROKEN_LINK, name, "it continues hash ${header.previousHash.take(SHOWN_DIGITS)}")
        }
        nextSequence = first
        hash = ChainHash(hashBytes(header.previousHash) ?: ByteArray(0))
    }

    private fun take(
        name: String,
        record: AccountRecord,
        line: ByteArray,
    ) {
        if (closed) report(FindingKind.AFTER_CLOSE, name, "record ${record.sequence}")
        if (record.sequence != nextSequence || record.time <= time) {
            report(FindingKind.DISORDERED, name, "record ${record.sequence} stands where $nextSequence belongs")
        }
        hash.append(line)
        nextSequence++
        records++
        time = record.time
        if (firstWallMillis == null) firstWallMillis = time.wallMillis
        when (val event = record.event) {
            is AccountEvent.Answered -> answered++
            is AccountEvent.Counted -> counted += event.counts.sumOf { it.count }
            is AccountEvent.Opened -> zoneId = event.zoneId
            is AccountEvent.Closed -> closed = true
            is AccountEvent.PeerHead, is AccountEvent.ChangeHead -> Unit
        }
        onRecord(record)
    }

    private fun report(
        kind: FindingKind,
        name: String,
        detail: String,
    ) {
        findings += AccountFinding(kind, name, nextSequence, detail)
    }

    private companion object {
        const val SHOWN_DIGITS = 16
    }
}

/** Segment as it was read. */
internal class ParsedSegment(
    val header: SegmentHeader,
    val lines: List<ByteArray>,
    val records: List<AccountRecord>,
    val footer: SegmentFooter,
)

/** Hash of a chain after the record [sequence], in hexadecimal digits. */
internal data class SequenceHash(
    val sequence: Long,
    val hash: String,
)

/** Reads a segment; throws [IOException] or [IllegalArgumentException] when it is none. */
internal fun parseSegment(content: ByteArray): ParsedSegment {
    val lines = segmentLines(content)
    if (lines.size < MIN_SEGMENT_LINES) throw IOException("it has ${lines.size} lines")
    val inner = lines.subList(1, lines.size - 1)
    return ParsedSegment(
        header = accountJson.decodeFromString(SegmentHeader.serializer(), lines.first().decodeToString()),
        lines = inner,
        records = inner.map { accountJson.decodeFromString(AccountRecord.serializer(), it.decodeToString()) },
        footer = accountJson.decodeFromString(SegmentFooter.serializer(), lines.last().decodeToString()),
    )
}

/** Returns the hash after each record of a segment, without looking into the records; empty when it is unreadable. */
internal fun hashesBySequence(content: ByteArray): List<SequenceHash> {
    val lines =
        try {
            segmentLines(content)
        } catch (e: IOException) {
            return emptyList()
        }
    if (lines.size < MIN_SEGMENT_LINES) return emptyList()
    val header =
        try {
            accountJson.decodeFromString(SegmentHeader.serializer(), lines.first().decodeToString())
        } catch (e: IllegalArgumentException) {
            return emptyList()
        }
    val hash = ChainHash(hashBytes(header.previousHash) ?: return emptyList())
    return lines.subList(1, lines.size - 1).mapIndexed { index, line ->
        hash.append(line)
        SequenceHash(header.firstSequence + index, hash.hexDigits)
    }
}

private const val MIN_SEGMENT_LINES = 3
