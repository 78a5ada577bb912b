package org.verbenagauge.entry.account

import kotlinx.serialization.Serializable
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.security.MessageDigest
import java.util.HexFormat
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

/** Prefix of the names of all segments in the object store. */
public const val ACCOUNT_PREFIX: String = "account/"

internal const val ACCOUNT_FORMAT = "verbenagauge-account-1"
private const val SEQUENCE_DIGITS = 16
private val hex = HexFormat.of()

/**
 * First line of a segment.
 *
 * @property format version of the format.
 * @property chain chain that the segment belongs to.
 * @property firstSequence sequence of the first record.
 * @property previousHash hash of the chain before the first record.
 */
@Serializable
public data class SegmentHeader(
    val format: String,
    val chain: ChainId,
    val firstSequence: Long,
    val previousHash: String,
)

/**
 * Last line of a segment.
 *
 * @property lastSequence sequence of the last record.
 * @property hash hash of the chain after the last record.
 */
@Serializable
public data class SegmentFooter(
    val lastSequence: Long,
    val hash: String,
)

/**
 * Records that are closed for good and wait for the object store.
 *
 * @property header first line.
 * @property lines one record each.
 * @property footer last line.
 */
internal class SealedSegment(
    val header: SegmentHeader,
    val lines: List<ByteArray>,
    val footer: SegmentFooter,
) {
    val name = segmentName(header.chain, header.firstSequence)

    /** Returns the object: gzip of one JSON text a line. */
    fun encode(): ByteArray {
        val buffer = ByteArrayOutputStream()
        GZIPOutputStream(buffer).use { out ->
            out.write(accountJson.encodeToString(SegmentHeader.serializer(), header).encodeToByteArray())
            out.write(NEW_LINE)
            lines.forEach {
                out.write(it)
                out.write(NEW_LINE)
            }
            out.write(accountJson.encodeToString(SegmentFooter.serializer(), footer).encodeToByteArray())
            out.write(NEW_LINE)
        }
        return buffer.toByteArray()
    }

    private companion object {
        const val NEW_LINE = '\n'.code
    }
}

/** Returns the name of the segment of [chain] that begins at [firstSequence]. */
internal fun segmentName(
    chain: ChainId,
    firstSequence: Long,
): String = "$ACCOUNT_PREFIX$chain/${firstSequence.toString().padStart(SEQUENCE_DIGITS, '0')}"

/** Returns the lines of a segment object; throws [java.io.IOException] when it is no gzip. */
internal fun segmentLines(content: ByteArray): List<ByteArray> =
    GZIPInputStream(ByteArrayInputStream(content)).use { it.readBytes() }.lines()

private fun ByteArray.lines(): List<ByteArray> =
    buildList {
        var start = 0
        this@lines.forEachIndexed { index, byte ->
            if (byte == '\n'.code.toByte()) {
                add(this@lines.copyOfRange(start, index))
                start = index + 1
            }
        }
        if (start < this@lines.size) add(this@lines.copyOfRange(start, this@lines.size))
    }

/** Hash of a chain: each hash is the SHA-256 of the hash before and the bytes of the record's line. */
internal class ChainHash(
    start: ByteArray,
) {
    private val digest = MessageDigest.getInstance("SHA-256")
    private var current = start

    val hexDigits: String get() = hex.formatHex(current)

    fun append(line: ByteArray) {
        digest.update(current)
        current = digest.digest(line)
    }
}

/** Returns the hash of [chain] before its first record. */
internal fun chainStart(chain: ChainId): ByteArray =
    MessageDigest.getInstance("SHA-256").digest("$ACCOUNT_FORMAT $chain".encodeToByteArray())

/** Reads a hash from hexadecimal digits; null when it is none. */
internal fun hashBytes(digits: String): ByteArray? =
    try {
        hex.parseHex(digits).takeIf { it.size == HASH_BYTES }
    } catch (e: IllegalArgumentException) {
        null
    }

private const val HASH_BYTES = 32
