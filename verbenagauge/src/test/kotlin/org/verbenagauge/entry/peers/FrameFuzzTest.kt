package org.verbenagauge.entry.peers

import com.sun.management.ThreadMXBean
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.utils.io.ByteReadChannel
import org.verbenagauge.entry.model.PeerId
import java.io.IOException
import java.lang.management.ManagementFactory
import java.nio.ByteBuffer
import kotlin.random.Random

private const val ROUNDS = 2_000
private val secret = "0123456789abcdef0123456789abcdef".encodeToByteArray()
private val local = PeerId("entry-a", 1)

private fun seals(): Pair<FrameSeal, FrameSeal> {
    val hellos = "dialer".encodeToByteArray() to "listener".encodeToByteArray()
    return connectionSeals(secret, hellos.first, hellos.second, dialing = true).sending to
        connectionSeals(secret, hellos.first, hellos.second, dialing = false).receiving
}

private data class FrameCase(
    val name: String,
    val bytes: ByteArray,
)

private const val MOST_ALLOCATED_BYTES = 1_000_000L

// As -Xss in deploy/system.toml.
private const val STACK_BYTES = 256L * 1_024

private fun allocatedBytes(): Long {
    val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
    return threads.getThreadAllocatedBytes(Thread.currentThread().id)
}

private fun header(
    kind: Int,
    size: Int,
): ByteArray =
    ByteBuffer
        .allocate(1 + Int.SIZE_BYTES)
        .put(kind.toByte())
        .putInt(size)
        .array()

private fun ByteArray.replaced(
    part: ByteArray,
    other: ByteArray,
): ByteArray {
    val at = (0..size - part.size).first { copyOfRange(it, it + part.size).contentEquals(part) }
    return copyOfRange(0, at) + other + copyOfRange(at + part.size, size)
}

private fun sized(
    size: Int,
    body: Int,
) = ByteBuffer.allocate(Int.SIZE_BYTES + body).putInt(size).array()

class FrameFuzzTest :
    FunSpec({
        context("given a broken frame, when it is read, then an error ends the connection") {
            withData(
                nameFn = { it.name },
                FrameCase("nothing", ByteArray(0)),
                FrameCase("half a length", ByteArray(2)),
                FrameCase("length 0", sized(0, 0)),
                FrameCase("negative length", sized(-1, 8)),
                FrameCase("oversized", sized(MAX_FRAME_BYTES + 1, 8)),
                FrameCase("truncated", sized(100, 99)),
            ) { case ->
                shouldThrow<IOException> { ByteReadChannel(case.bytes).readFrame(MAX_FRAME_BYTES) }
            }
        }

        test("given random bytes, when they are read as hello or message, then they are refused without an exception") {
            val random = Random(7)
            repeat(ROUNDS) {
                val bytes = random.nextBytes(random.nextInt(200))
                readHello(bytes, local).shouldBeInstanceOf<HelloOutcome.Refused>()
                decodeMessage(bytes) shouldBe null
                FrameSeal(secret).open(bytes) shouldBe null
            }
        }

        test("given a valid message, when any one bit of its frame flips, then the frame is refused") {
            val payload = encodeMessage(StateMessage.Ask(7, HeldReport(version = 300)))
            val sealed = seals().first.seal(payload)
            repeat(sealed.size * Byte.SIZE_BITS) { bit ->
                val flipped = sealed.copyOf()
                flipped[bit / Byte.SIZE_BITS] =
                    (flipped[bit / Byte.SIZE_BITS].toInt() xor (1 shl bit % Byte.SIZE_BITS)).toByte()
                seals().second.open(flipped) shouldBe null
            }
        }

        context("given a message that declares more than its frame holds, when it is read, then it takes no memory") {
            val valid = encodeMessage(StateMessage.Changes(listOf("one", "two"), HeldReport(2, 1, 1, true)))
            val list = byteArrayOf(0x82.toByte(), 0x63) + "one".encodeToByteArray()
            val text = byteArrayOf(0x63) + "one".encodeToByteArray()
            val part = encodeMessage(StateMessage.SnapshotPart(1, 0, 1, byteArrayOf(7, 7, 7)))
            val bytes = byteArrayOf(0x43, 7, 7, 7)
            withData(
                nameFn = { it.name },
                listOf(0x7f_ff_ff_ff, 0x00_ff_ff_ff, -1).flatMap { size ->
                    listOf(
                        FrameCase("a list of $size", valid.replaced(list, header(0x9a, size) + text)),
                        FrameCase("a text of $size bytes", valid.replaced(text, header(0x7a, size))),
                        FrameCase("$size bytes", part.replaced(bytes, header(0x5a, size))),
                        FrameCase("a map of $size", header(0xba, size)),
                        FrameCase("an unknown list of $size", valid + header(0x9a, size)),
                    )
                },
            ) { case ->
                val before = allocatedBytes()
                decodeMessage(case.bytes)
                readHello(case.bytes, local).shouldBeInstanceOf<HelloOutcome.Refused>()
                (allocatedBytes() - before) shouldBeLessThan MOST_ALLOCATED_BYTES
            }
        }

        context("given a deeply nested message, when it is read on a short stack, then it is refused") {
            val valid = encodeMessage(StateMessage.Changes(listOf("one", "two"), HeldReport(2, 1, 1, true)))
            val list = byteArrayOf(0x82.toByte(), 0x63) + "one".encodeToByteArray()
            val unknownField = byteArrayOf(0xa1.toByte(), 0x18, 99)
            withData(
                nameFn = { it.name },
                FrameCase("lists", ByteArray(MAX_PAYLOAD_BYTES) { 0x81.toByte() }),
                FrameCase("lists without an end", ByteArray(MAX_PAYLOAD_BYTES) { 0x9f.toByte() }),
                FrameCase("maps", ByteArray(MAX_PAYLOAD_BYTES) { if (it % 2 == 0) 0xa1.toByte() else 0 }),
                FrameCase("tags", ByteArray(MAX_PAYLOAD_BYTES) { 0xc1.toByte() }),
                FrameCase("lists in a known field", valid.replaced(list, ByteArray(50_000) { 0x81.toByte() })),
                FrameCase("lists in an unknown field", unknownField + ByteArray(50_000) { 0x81.toByte() }),
            ) { case ->
                var refused: PeerMessage? = StateMessage.WantChanges(1)
                val thread = Thread(null, { refused = decodeMessage(case.bytes) }, "reader", STACK_BYTES)
                thread.start()
                thread.join()
                refused shouldBe null
            }
        }

        test("given an encoded message, when its bytes are mutated, then it is read or refused without an exception") {
            val random = Random(11)
            val bytes = encodeMessage(StateMessage.Changes(listOf("one", "two"), HeldReport(2, 1, 1, true)))
            repeat(ROUNDS) {
                val mutated = bytes.copyOf(random.nextInt(bytes.size + 1))
                if (mutated.isNotEmpty()) mutated[random.nextInt(mutated.size)] = random.nextInt().toByte()
                decodeMessage(mutated)
            }
        }

        test("given sealed frames, when one is repeated, left out or sent on another connection, then it is refused") {
            val (sender, receiver) = seals()
            val first = sender.seal(byteArrayOf(1))
            val second = sender.seal(byteArrayOf(2))
            receiver.open(first)?.toList() shouldBe listOf<Byte>(1)
            receiver.open(first) shouldBe null
            seals().second.open(second) shouldBe null
            val elsewhere = connectionSeals(secret, "other".encodeToByteArray(), "listener".encodeToByteArray(), false)
            elsewhere.receiving.open(first) shouldBe null
        }

        context("given a hello, when it does not fit this entry, then it is refused") {
            withData(
                nameFn = { it.first },
                "older protocol" to Hello(0, 0, PeerId("entry-b", 1), ByteArray(NONCE_BYTES)),
                "newer protocol" to Hello(2, 3, PeerId("entry-b", 1), ByteArray(NONCE_BYTES)),
                "short nonce" to Hello(1, 1, PeerId("entry-b", 1), ByteArray(1)),
                "this entry itself" to Hello(1, 1, local, ByteArray(NONCE_BYTES)),
                "no name" to Hello(1, 1, PeerId("", 1), ByteArray(NONCE_BYTES)),
            ) { (_, hello) ->
                readHello(encodeHello(hello), local).shouldBeInstanceOf<HelloOutcome.Refused>()
            }
        }
    })
