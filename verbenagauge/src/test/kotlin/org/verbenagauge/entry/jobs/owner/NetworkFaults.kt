package org.verbenagauge.entry.jobs.owner

import kotlin.random.Random

/** Outcome of one call to a worker. */
internal enum class WireOutcome {
    /** Executed and answered. */
    SERVED,

    /** Lost before the worker receives it. */
    LOST,

    /** Executed; the answer is lost. */
    ANSWER_LOST,

    /** Executed seconds later; not answered. */
    LATE,

    /** Refused by a worker that is not healthy. */
    UNHEALTHY,
}

/** Injects faults into the network between entries and workers, and between entries, and draws its delays. */
internal class NetworkFaults(
    private val time: VirtualTime,
    private val random: Random,
) {
    private var noisyUntilMillis = 0L
    private val cutUntilMillis = HashMap<Pair<String, String>, Long>()
    private val lostUntilMillis = HashMap<String, Long>()

    /**
     * End of the latest fault that has begun, in virtual time; may be in the future. The loss of a machine counts with
     * its beginning and its end only.
     */
    var undisturbedSinceMillis = 0L
        private set
    private val isNoisy: Boolean get() = time.nowMillis < noisyUntilMillis

    /** Makes some calls and messages lost, late or slow for [forMillis]. */
    fun disturb(forMillis: Long) {
        noisyUntilMillis = until(forMillis)
    }

    /** Blocks everything from [one] to [other] for [forMillis]; the opposite direction is not affected. */
    fun cut(
        one: String,
        other: String,
        forMillis: Long,
    ) {
        cutUntilMillis[one to other] = until(forMillis)
    }

    /** Blocks everything from and to [machine] for [forMillis], also after [clear]. */
    fun lose(
        machine: String,
        forMillis: Long,
    ) {
        lostUntilMillis[machine] = time.nowMillis + forMillis
        until(0)
        time.after(forMillis) { until(0) }
    }

    /** Whether [machine] is lost now. */
    fun isLost(machine: String): Boolean = time.nowMillis < (lostUntilMillis[machine] ?: 0)

    private fun until(forMillis: Long): Long =
        (time.nowMillis + forMillis).also { undisturbedSinceMillis = maxOf(undisturbedSinceMillis, it) }

    /** Ends all faults but the loss of machines. */
    fun clear() {
        noisyUntilMillis = 0
        cutUntilMillis.clear()
        undisturbedSinceMillis = minOf(undisturbedSinceMillis, time.nowMillis)
    }

    /** Whether the network from [one] to [other] is open now. */
    fun passes(
        one: String,
        other: String,
    ): Boolean = time.nowMillis >= (cutUntilMillis[one to other] ?: 0) && !isLost(one) && !isLost(other)

    /** Draws the outcome of a call that [entryId] sends to [machine] now. */
    fun callOutcome(
        entryId: String,
        machine: String,
    ): WireOutcome =
        when {
            !passes(entryId, machine) -> if (random.nextInt(LATE_ONE_IN) == 0) WireOutcome.LATE else WireOutcome.LOST
            !passes(machine, entryId) -> WireOutcome.ANSWER_LOST
            isNoisy && random.nextInt(NOISE_ONE_IN) == 0 -> noiseFaults.random(random)
            else -> WireOutcome.SERVED
        }

    /** Draws the one-way delay of a call or message. */
    fun oneWayMillis(): Long =
        if (isNoisy && random.nextInt(SLOW_ONE_IN) == 0) random.nextLong(10, 450) else random.nextLong(1, 4)

    /** Draws the delay after which a late call is executed. */
    fun lateDelayMillis(): Long = random.nextLong(2_000, 12_000)

    /** Draws whether a message between entries is lost; blocked connections are decided by [passes]. */
    fun isMessageLost(): Boolean = isNoisy && random.nextInt(MESSAGE_LOST_ONE_IN) == 0

    private companion object {
        const val NOISE_ONE_IN = 5
        const val SLOW_ONE_IN = 3
        const val LATE_ONE_IN = 3
        const val MESSAGE_LOST_ONE_IN = 3
        val noiseFaults =
            listOf(
                WireOutcome.LOST,
                WireOutcome.ANSWER_LOST,
                WireOutcome.ANSWER_LOST,
                WireOutcome.LATE,
                WireOutcome.UNHEALTHY,
            )
    }
}
