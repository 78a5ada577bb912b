package org.verbenagauge.entry.jobs.owner

import kotlin.random.Random

/** Outcome of one call to the store. */
internal enum class CallOutcome {
    /** Executed and answered. */
    SERVED,

    /** Refused without being executed. */
    REFUSED,

    /** Not sent; the caller receives a refusal. */
    NOT_SENT,

    /** Lost before the store receives it. */
    LOST,

    /** Executed; the answer is lost. */
    ANSWER_LOST,

    /** Executed seconds later; not answered. */
    LATE,

    /** Executed late, and also sent again through a peer; the second call is executed and answered. */
    TWICE,
}

/** Injects faults into calls to the store, and draws the delays of the calls. */
internal class StoreFaults(
    private val time: VirtualTime,
    private val random: Random,
) {
    private var downUntilMillis = 0L
    private var noisyUntilMillis = 0L
    private var laggingUntilMillis = 0L
    private val refusedUntilMillis = HashMap<String, Long>()
    private val writesRefusedUntilMillis = HashMap<String, Long>()

    /** End of the latest fault that has begun, in virtual time; may be in the future. */
    var undisturbedSinceMillis = 0L
        private set

    /** Whether the store is down. */
    val isDown: Boolean get() = time.nowMillis < downUntilMillis
    private val isNoisy: Boolean get() = time.nowMillis < noisyUntilMillis
    private val isLagging: Boolean get() = time.nowMillis < laggingUntilMillis

    /** Makes the store unavailable to all entries for [forMillis]. */
    fun takeDown(forMillis: Long) {
        downUntilMillis = until(forMillis)
    }

    /** Makes some calls lost, late or slow for [forMillis]. */
    fun disturb(forMillis: Long) {
        noisyUntilMillis = until(forMillis)
    }

    /** Delays the answers of feeds for [forMillis]. */
    fun lag(forMillis: Long) {
        laggingUntilMillis = until(forMillis)
    }

    /** Refuses the calls of [entryId] for [forMillis]. */
    fun refuse(
        entryId: String,
        forMillis: Long,
    ) {
        refusedUntilMillis[entryId] = until(forMillis)
    }

    /** Refuses the writes of [entryId] for [forMillis]. */
    fun refuseWrites(
        entryId: String,
        forMillis: Long,
    ) {
        writesRefusedUntilMillis[entryId] = until(forMillis)
    }

    private fun until(forMillis: Long): Long =
        (time.nowMillis + forMillis).also { undisturbedSinceMillis = maxOf(undisturbedSinceMillis, it) }

    /** Draws the outcome of a write that [entryId] sends now. */
    fun writeOutcome(entryId: String): CallOutcome =
        if (time.nowMillis < (writesRefusedUntilMillis[entryId] ?: 0)) refusals.random(random) else callOutcome(entryId)

    /** Draws the outcome of a call that [entryId] sends now. */
    fun callOutcome(entryId: String): CallOutcome =
        when {
            isDown -> outageFaults.random(random)
            time.nowMillis < (refusedUntilMillis[entryId] ?: 0) -> refusals.random(random)
            isNoisy && random.nextInt(NOISE_ONE_IN) == 0 -> noiseFaults.random(random)
            else -> CallOutcome.SERVED
        }

    /** Draws the one-way delay of a call. */
    fun oneWayMillis(): Long =
        if (isNoisy && random.nextInt(SLOW_ONE_IN) == 0) random.nextLong(20, 400) else random.nextLong(1, 5)

    /** Draws the delay after which a late call is executed; an outage ends before. */
    fun lateDelayMillis(): Long = maxOf(0, downUntilMillis - time.nowMillis) + random.nextLong(1_000, 6_000)

    /** Draws the extra delay of the answer of a feed. */
    fun lagMillis(): Long = if (isLagging) random.nextLong(0, 1_800) else 0

    /** Draws whether a feed asks for history that the store no longer retains. */
    fun isHistoryGone(): Boolean = (isNoisy || isLagging) && random.nextInt(GONE_ONE_IN) == 0

    private companion object {
        const val NOISE_ONE_IN = 5
        const val SLOW_ONE_IN = 3
        const val GONE_ONE_IN = 12
        val outageFaults =
            listOf(
                CallOutcome.LOST,
                CallOutcome.REFUSED,
                CallOutcome.REFUSED,
                CallOutcome.NOT_SENT,
                CallOutcome.NOT_SENT,
                CallOutcome.LATE,
            )
        val refusals =
            listOf(CallOutcome.REFUSED, CallOutcome.REFUSED, CallOutcome.NOT_SENT, CallOutcome.LOST, CallOutcome.TWICE)
        val noiseFaults =
            listOf(CallOutcome.REFUSED, CallOutcome.LOST, CallOutcome.ANSWER_LOST, CallOutcome.LATE, CallOutcome.TWICE)
    }
}
