package org.verbenagauge.entry.peers

import kotlin.random.Random

private const val FIRST_DELAY_MILLIS = 250L
private const val MAX_DELAY_MILLIS = 5_000L
private const val MAX_DOUBLINGS = 10
private const val YIELD_MILLIS = 1_000L

/**
 * Address that this entry should be connected to.
 *
 * @property host IP number.
 * @property port TCP port.
 * @property entryId entry that listens there, or null when it is not known yet.
 */
public data class PeerAddress(
    val host: String,
    val port: Int,
    val entryId: String? = null,
)

/**
 * Decides when to open connections: a pure decision. Exponential backoff with full jitter; of a pair, the entry
 * whose name comes first opens the connection, and the other follows only when that has not happened.
 */
internal class DialPlanner(
    private val localEntryId: String,
    private val random: Random,
) {
    private val plans = HashMap<HostPort, Plan>()

    /** Returns which of [wanted], the addresses without a connection, to connect to now. */
    fun due(
        wanted: List<PeerAddress>,
        nowMillis: Long,
    ): List<PeerAddress> {
        val keys = wanted.mapTo(HashSet()) { it.key }
        plans.keys.retainAll(keys)
        return wanted.filter { address ->
            val plan = plans.getOrPut(address.key) { Plan(nowMillis + firstDelayMillis(address)) }
            if (plan.atMillis > nowMillis) return@filter false
            plan.attempts++
            plan.atMillis = nowMillis + delayMillis(plan.attempts)
            true
        }
    }

    private fun firstDelayMillis(address: PeerAddress): Long {
        val entryId = address.entryId ?: return 0
        return if (localEntryId < entryId) 0 else YIELD_MILLIS
    }

    private fun delayMillis(attempts: Int): Long {
        val ceiling = minOf(MAX_DELAY_MILLIS, FIRST_DELAY_MILLIS shl minOf(attempts, MAX_DOUBLINGS))
        return FIRST_DELAY_MILLIS + random.nextLong(ceiling)
    }

    private val PeerAddress.key get() = HostPort(host, port)

    private data class HostPort(
        val host: String,
        val port: Int,
    )

    private class Plan(
        var atMillis: Long,
    ) {
        var attempts = 0
    }
}
