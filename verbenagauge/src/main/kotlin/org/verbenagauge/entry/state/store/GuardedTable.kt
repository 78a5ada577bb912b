package org.verbenagauge.entry.state.store

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/**
 * Part of the table service that one entry may use.
 *
 * @property readsPerSecond plain reads and scans.
 * @property writesPerSecond transactions, also those without writes.
 * @property burst calls that may follow each other at once.
 * @property failuresToOpen failures in a row after which calls fail at once for a while.
 * @property firstPauseMillis longest first such while; it doubles with every failed trial.
 * @property maxPauseMillis longest such while.
 */
public data class TableBudget(
    val readsPerSecond: Int = 50,
    val writesPerSecond: Int = 10,
    val burst: Int = 20,
    val failuresToOpen: Int = 3,
    val firstPauseMillis: Long = 200,
    val maxPauseMillis: Long = 2_000,
)

/** Counts of the calls to the table service. */
public class TableStats {
    /** Calls that were made. */
    public val calls: AtomicLong = AtomicLong()

    /** Calls that were not answered. */
    public val failures: AtomicLong = AtomicLong()

    /** Calls that were not made because the service did not answer lately. */
    public val skipped: AtomicLong = AtomicLong()
}

/** Decides when a call may be made: a token bucket. Pure. */
internal class TokenBucket(
    private val perSecond: Int,
    private val burst: Int,
) {
    private var tokens = burst.toDouble()
    private var filledAtMillis: Long? = null

    /** Takes a token and returns how long the call must wait for it. */
    fun take(nowMillis: Long): Long {
        val sinceMillis = nowMillis - (filledAtMillis ?: nowMillis)
        filledAtMillis = nowMillis
        tokens = minOf(burst.toDouble(), tokens + sinceMillis * perSecond / MILLIS_PER_SECOND) - 1
        return if (tokens >= 0) 0 else (-tokens * MILLIS_PER_SECOND / perSecond).toLong()
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** Decides whether a service that did not answer is asked again: a circuit breaker. Pure. */
internal class Circuit(
    private val budget: TableBudget,
    private val random: Random,
) {
    private var failures = 0
    private var openUntilMillis = Long.MIN_VALUE

    /** Whether a call may be made; while the circuit is open, one call is let through after each pause. */
    fun mayCall(nowMillis: Long): Boolean {
        if (failures < budget.failuresToOpen) return true
        if (nowMillis < openUntilMillis) return false
        openUntilMillis = nowMillis + pauseMillis()
        return true
    }

    /** Notes whether a call was answered. */
    fun ended(
        answered: Boolean,
        nowMillis: Long,
    ) {
        failures = if (answered) 0 else failures + 1
        if (failures >= budget.failuresToOpen) openUntilMillis = nowMillis + pauseMillis()
    }

    private fun pauseMillis(): Long {
        val doublings = minOf(failures - budget.failuresToOpen, MAX_DOUBLINGS)
        return random.nextLong(minOf(budget.maxPauseMillis, budget.firstPauseMillis shl doublings) + 1)
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
    }
}

/** Keeps the calls of one entry to [table] within [budget], and spares a service that does not answer. */
internal class GuardedTable(
    private val table: TableService,
    private val clock: Clock,
    budget: TableBudget,
    random: Random,
    private val stats: TableStats,
    private val pause: suspend (Long) -> Unit = { delay(it) },
) : TableService {
    private val reads = TokenBucket(budget.readsPerSecond, budget.burst)
    private val writes = TokenBucket(budget.writesPerSecond, budget.burst)
    private val circuit = Circuit(budget, random)

    override suspend fun read(keys: List<String>): ReadOutcome<List<Row>> = guardRead { table.read(keys) }

    override suspend fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
    ): ReadOutcome<List<Row>> = guardRead { table.scan(prefix, afterKey, limit) }

    override suspend fun transact(transaction: Transaction): WriteOutcome {
        if (!mayCall(writes)) return WriteOutcome.Unavailable(SKIPPED)
        val outcome = table.transact(transaction)
        ended(outcome !is WriteOutcome.Unavailable && outcome !is WriteOutcome.Unknown)
        return outcome
    }

    private suspend fun <T> guardRead(call: suspend () -> ReadOutcome<T>): ReadOutcome<T> {
        if (!mayCall(reads)) return ReadOutcome.Unavailable(SKIPPED)
        val outcome = call()
        ended(outcome is ReadOutcome.Found)
        return outcome
    }

    private suspend fun mayCall(bucket: TokenBucket): Boolean {
        val waitMillis =
            synchronized(this) {
                if (circuit.mayCall(clock.monotonicMillis())) bucket.take(clock.monotonicMillis()) else null
            }
        if (waitMillis == null) {
            stats.skipped.incrementAndGet()
            return false
        }
        if (waitMillis > 0) pause(waitMillis)
        stats.calls.incrementAndGet()
        return true
    }

    private fun ended(answered: Boolean) {
        if (!answered) stats.failures.incrementAndGet()
        synchronized(this) { circuit.ended(answered, clock.monotonicMillis()) }
    }

    private companion object {
        const val SKIPPED = "not asked: the table service did not answer lately"
    }
}
