package org.verbenagauge.entry.account

import kotlinx.serialization.Serializable

/**
 * A request with its place in the order over all chains.
 *
 * @property chain chain that holds it.
 * @property sequence position in the chain.
 * @property wallMillis hybrid time: milliseconds.
 * @property counter hybrid time: counter.
 * @property event the request.
 */
@Serializable
public data class OrderedRecord(
    val chain: ChainId,
    val sequence: Long,
    val wallMillis: Long,
    val counter: Int,
    val event: AccountEvent.Answered,
)

/** Returns the requests of [source] that [wanted] takes, in the order of their hybrid times; unreadable parts are left out. */
public suspend fun showAccount(
    source: SegmentSource,
    wanted: (OrderedRecord) -> Boolean,
): List<OrderedRecord> =
    readRecords(source)
        .mapNotNull { (chain, record) -> ordered(chain, record) }
        .filter(wanted)
        .sortedWith(compareBy({ it.wallMillis }, { it.counter }, { it.chain.toString() }, { it.sequence }))

private fun ordered(
    chain: ChainId,
    record: AccountRecord,
): OrderedRecord? {
    val event = record.event as? AccountEvent.Answered ?: return null
    return OrderedRecord(chain, record.sequence, record.time.wallMillis, record.time.counter, event)
}

private data class ChainRecord(
    val chain: ChainId,
    val record: AccountRecord,
)

private suspend fun readRecords(source: SegmentSource): List<ChainRecord> =
    source.names().flatMap { name ->
        val chain = chainOfSegment(name)
        val content = if (chain == null) null else source.read(name)
        if (chain == null || content == null) emptyList() else records(chain, content)
    }

private fun records(
    chain: ChainId,
    content: ByteArray,
): List<ChainRecord> =
    try {
        parseSegment(content).records.map { ChainRecord(chain, it) }
    } catch (e: java.io.IOException) {
        emptyList()
    } catch (e: IllegalArgumentException) {
        emptyList()
    }

/**
 * Place of a record.
 *
 * @property chain chain.
 * @property sequence position in the chain.
 */
@Serializable
public data class RecordPlace(
    val chain: ChainId,
    val sequence: Long,
)

/** Order that the hashes prove, without any clock. */
public class ProvedOrder internal constructor(
    private val heads: Map<ChainId, List<EmbeddedHead>>,
) {
    /**
     * Whether the hashes prove that [one] came before [other]: they stand in the same chain in this order, or the chain
     * of [other] holds, before it, a hash that covers [one], directly or over further chains.
     */
    public fun isBefore(
        one: RecordPlace,
        other: RecordPlace,
    ): Boolean {
        if (one.chain == other.chain) return one.sequence < other.sequence
        return (knownBefore(other)[one.chain] ?: -1) >= one.sequence
    }

    private fun knownBefore(place: RecordPlace): Map<ChainId, Long> {
        val known = mutableMapOf(place.chain to place.sequence)
        val open = ArrayDeque(listOf(place))
        while (open.isNotEmpty()) {
            val next = open.removeFirst()
            heads[next.chain]
                .orEmpty()
                .filter { it.atSequence <= next.sequence && it.head.sequence > (known[it.head.chain] ?: -1) }
                .forEach {
                    known[it.head.chain] = it.head.sequence
                    open.addLast(RecordPlace(it.head.chain, it.head.sequence))
                }
        }
        return known
    }
}

internal class EmbeddedHead(
    val atSequence: Long,
    val head: AccountEvent.PeerHead,
)

/** Reads the order that the hashes in [source] prove; valid only when [verifyAccount] finds no damage. */
public suspend fun provedOrder(source: SegmentSource): ProvedOrder =
    ProvedOrder(
        readRecords(source)
            .groupBy({ it.chain }) { embeddedHead(it.record) }
            .mapValues { (_, found) -> found.filterNotNull() },
    )

private fun embeddedHead(record: AccountRecord): EmbeddedHead? =
    (record.event as? AccountEvent.PeerHead)?.let { EmbeddedHead(record.sequence, it) }
