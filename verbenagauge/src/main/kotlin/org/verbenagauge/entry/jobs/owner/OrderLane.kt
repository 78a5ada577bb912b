package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.ports.OrderOutcome

/**
 * Sends the orders to one worker. A worker takes a limited number of connections from all entries together, and an entry
 * that is suspended keeps its own, so only some orders are in flight at the same time. After orders without an answer the
 * next ones go out one at a time and are delayed, by up to [MAX_PAUSE_MILLIS].
 *
 * @param concurrency number of orders in flight at the same time.
 */
internal class OrderLane(
    private val clock: Clock,
    concurrency: Int,
) {
    private val permits = Semaphore(concurrency)
    private val probing = Mutex()
    private var users = 0
    private var failedRounds = 0
    private var failedAtMillis = NEVER
    private var pausedUntilMillis = NEVER

    /** Whether no order is in flight or waits. */
    val isIdle: Boolean get() = users == 0

    /**
     * Calls [send] once an order may be sent to the worker. [withhold] is asked just before, since the permission to send
     * may have ended during the wait; if it returns an outcome, that is the result and nothing is sent.
     */
    suspend fun send(
        withhold: () -> OrderOutcome.Withheld?,
        send: suspend () -> OrderOutcome,
    ): OrderOutcome {
        users++
        try {
            withTimeoutOrNull(MAX_WAIT_MILLIS) { permits.acquire() } ?: return busy
            try {
                return if (failedRounds == 0) attempt(withhold, send) else probe(withhold, send)
            } finally {
                permits.release()
            }
        } finally {
            users--
        }
    }

    // While orders get no answer, one at a time finds out whether the worker answers again; each may leave a run behind of
    // which nothing is known.
    private suspend fun probe(
        withhold: () -> OrderOutcome.Withheld?,
        send: suspend () -> OrderOutcome,
    ): OrderOutcome {
        withTimeoutOrNull(MAX_WAIT_MILLIS) { probing.lock() } ?: return busy
        try {
            delay(pausedUntilMillis - clock.monotonicMillis())
            return attempt(withhold, send)
        } finally {
            probing.unlock()
        }
    }

    private suspend fun attempt(
        withhold: () -> OrderOutcome.Withheld?,
        send: suspend () -> OrderOutcome,
    ): OrderOutcome {
        val sentAtMillis = clock.monotonicMillis()
        return withhold() ?: send().also { record(it, sentAtMillis) }
    }

    private fun record(
        outcome: OrderOutcome,
        sentAtMillis: Long,
    ) {
        when (outcome) {
            is OrderOutcome.Done, is OrderOutcome.Refused -> {
                failedRounds = 0
                pausedUntilMillis = NEVER
            }

            is OrderOutcome.Unanswered, is OrderOutcome.NotSent -> {
                // Orders in flight together fail for the same reason.
                if (sentAtMillis < failedAtMillis) return
                failedAtMillis = clock.monotonicMillis()
                pausedUntilMillis = failedAtMillis + pauseMillis(failedRounds)
                failedRounds++
            }

            is OrderOutcome.Withheld -> Unit
        }
    }

    private fun pauseMillis(earlierRounds: Int): Long =
        minOf(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS shl minOf(earlierRounds, MAX_DOUBLINGS))

    private companion object {
        // As long as an order waits for its answer; its task may then start on another worker.
        const val MAX_WAIT_MILLIS = 500L
        const val FIRST_PAUSE_MILLIS = 80L
        const val MAX_PAUSE_MILLIS = 1_000L
        const val MAX_DOUBLINGS = 4
        const val NEVER = Long.MIN_VALUE / 2
        val busy = OrderOutcome.Withheld("other orders to the worker are in flight")
    }
}
