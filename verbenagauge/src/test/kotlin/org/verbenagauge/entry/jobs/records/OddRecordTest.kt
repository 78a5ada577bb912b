package org.verbenagauge.entry.jobs.records

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.elementNames
import org.verbenagauge.entry.jobs.fleet.WaveRecord
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.relay.EntryRecord
import org.verbenagauge.platform.onSmallStack
import kotlin.random.Random

private class Stored<T>(
    private val serializer: KSerializer<T>,
    value: T,
) {
    val bytes = RecordCodec.encode(serializer, value)

    /** Bytes up to the value of each field, and of one that is not known. */
    val openings =
        (serializer.descriptor.elementNames + "z").map { name ->
            byteArrayOf(0xbf.toByte(), (0x60 + name.length).toByte()) + name.encodeToByteArray()
        }

    fun decode(odd: ByteArray): Any? = RecordCodec.decode(serializer, odd)

    override fun toString() = serializer.descriptor.serialName.substringAfterLast('.')
}

private val step = StepSpecification(taskCount = 1, amount = Amount(1, 2, 3), dependsOn = listOf(0))

private val records =
    listOf(
        Stored(OwnerRecord.serializer(), OwnerRecord("e", 3, 4, mapOf("q" to 1), 5)),
        Stored(StateRecord.serializer(), StateRecord("q", JobState.entries.first(), 5)),
        Stored(JobRecord.serializer(), JobRecord("q", "t", 5, JobSpecification("text", listOf(step)))),
        Stored(
            ProgressRecord.serializer(),
            ProgressRecord(listOf("0.0.0"), mapOf("0.0.1" to listOf(1)), mapOf("0.0.2" to "x")),
        ),
        Stored(RosterRecord.serializer(), RosterRecord("s", "10.0.0.9", 80, 5, "m", setOf("q"))),
        Stored(EntryRecord.serializer(), EntryRecord("10.0.0.9", 80, 5, 1.0)),
        Stored(RefusalRecord.serializer(), RefusalRecord(1)),
        Stored(WaveRecord.serializer(), WaveRecord(listOf("m"), true, 5)),
    )

// Heads of CBOR by RFC 8949: arrays, maps, tags and texts of a length that no row has, or of no length at all.
private const val DEPTH = 500_000
private val field = byteArrayOf(0xbf.toByte(), 0x61, 0x7a)
private val longest = byteArrayOf(0x7f) + ByteArray(7) { -1 }

private fun head(
    first: Int,
    rest: ByteArray = ByteArray(0),
) = byteArrayOf(first.toByte()) + rest

private val heads =
    listOf(
        0x1b,
        0x3b,
        0x5b,
        0x7b,
        0x9b,
        0xbb,
        0xdb,
    ).flatMap { listOf(head(it, longest), head(it, ByteArray(8) { -1 })) } +
        listOf(0x5a, 0x7a, 0x9a, 0xba).map { head(it, byteArrayOf(0x7f, -1, -1, -1)) } +
        listOf(0x5f, 0x7f, 0x9f, 0xbf, 0xff, 0x1c, 0x3e, 0xf8, 0xfb, 0xf9, 0xc0, 0xf6, 0xf7).map { head(it) }

private val nested =
    listOf(byteArrayOf(0x9f.toByte()), byteArrayOf(0x81.toByte()), field, byteArrayOf(0xc1.toByte())).map { opening ->
        ByteArray(DEPTH * opening.size) { opening[it % opening.size] }
    }

private fun mutated(
    bytes: ByteArray,
    random: Random,
): ByteArray {
    val odd = bytes.copyOf(if (random.nextInt(4) == 0) random.nextInt(bytes.size + 1) else bytes.size)
    repeat(if (odd.isEmpty()) 0 else random.nextInt(1, 4)) { odd[random.nextInt(odd.size)] = random.nextInt().toByte() }
    return odd
}

class OddRecordTest :
    FunSpec({
        context("bytes that are no record are read as none") {
            withData(nameFn = { "$it" }, records) { record ->
                val odd =
                    (heads + nested).flatMap { value ->
                        (record.openings + record.bytes + ByteArray(0)).map {
                            it +
                                value
                        }
                    }
                val failures =
                    odd.mapNotNull { bytes ->
                        val failure = onSmallStack { record.decode(bytes) }.exceptionOrNull()
                        failure?.let { "$it: " + bytes.take(20).joinToString(" ") { byte -> "%02x".format(byte) } }
                    }
                failures shouldBe emptyList()
            }
        }

        context("a record with changed bytes is read or is none") {
            withData(nameFn = { "$it" }, records) { record ->
                val random = Random(7)
                val failures =
                    List(20_000) { mutated(record.bytes, random) }.mapNotNull { odd ->
                        val failure = runCatching { record.decode(odd) }.exceptionOrNull()
                        failure?.let { "$it: " + odd.joinToString(" ") { byte -> "%02x".format(byte) } }
                    }
                failures.take(5) shouldBe emptyList()
            }
        }
    })
