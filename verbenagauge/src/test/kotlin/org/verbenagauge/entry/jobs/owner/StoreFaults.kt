package org.verbenagauge.entry.jobs.owner

import kotlin.random.Random

/** What becomes of one call to the store. */
internal enum class CallOutcome {
    /** Carried out and answered. */
    SERVED,

    /** Refused; nothing is done. */
    REFUSED,

    /** Never sent. */
    NOT_SENT,

    /** Lost on its way. */
    LOST,

    /** Carried out; the answer is lost. */
    ANSWER_LOST,

    /** Carried out seconds later; not answered. */
    LATE,

    /** Carried out late, and made once more through a peer, which is answered. */
    TWICE,
}

/** What troubles the store, and how long calls to it take. */
internal class StoreFaults(
    private val time: VirtualTime,
    private val random: Random,
) {
    private var downUntilMillis = 0L
    private var noisyUntilMillis = 0L
    private var laggingUntilMillis = 0L
    private val refusedUntilMillis = HashMap<String, Long>()
    private val writesRefusedUntilMillis = HashMap<String, Long>()

    /** End of the last trouble that has begun. */
    var undisturbedSinceMillis = 0L
        private set

    /** Whether the store is down. */
    val isDown: Boolean get() = time.nowMillis < downUntilMillis
    private val isNoisy: Boolean get() = time.nowMillis < noisyUntilMillis
    private val isLagging: Boolean get() = time.nowMillis < laggingUntilMillis

    /** Takes the store down for [forMillis]. */
    fun takeDown(forMillis: Long) {
        downUntilMillis = until(forMillis)
    }

    /** Lets calls be lost, late and slow for [forMillis]. */
    fun disturb(forMillis: Long) {
        noisyUntilMillis = until(forMillis)
    }

    /** Lets feeds lag for [forMillis]. */
    fun lag(forMillis: Long) {
        laggingUntilMillis = until(forMillis)
    }

    /** Turns [entryId] away for [forMillis]. */
    fun refuse(
        entryId: String,
        forMillis: Long,
    ) {
        refusedUntilMillis[entryId] = until(forMillis)
    }

    /** Takes no writes of [entryId] for [forMillis]. */
    fun refuseWrites(
        entryId: String,
        forMillis: Long,
    ) {
        writesRefusedUntilMillis[entryId] = until(forMillis)
    }

    private fun until(forMillis: Long): Long =
        (time.nowMillis + forMillis).also { undisturbedSinceMillis = maxOf(undisturbedSinceMillis, it) }

    /** What becomes of a write of [entryId] that is sent now. */
    fun writeOutcome(entryId: String): CallOutcome =
        if (time.nowMillis < (writesRefusedUntilMillis[entryId] ?: 0)) refusals.random(random) else callOutcome(entryId)

    /** What becomes of a call of [entryId] that is made now. */
    fun callOutcome(entryId: String): CallOutcome =
        when {
            isDown -> outageFaults.random(random)
            time.nowMillis < (refusedUntilMillis[entryId] ?: 0) -> refusals.random(random)
            isNoisy && random.nextInt(NOISE_ONE_IN) == 0 -> noiseFaults.random(random)
            else -> CallOutcome.SERVED
        }

    /** Time of one way of a call. */
    fun oneWayMillis(): Long =
        if (isNoisy && random.nextInt(SLOW_ONE_IN) == 0) random.nextLong(20, 400) else random.nextLong(1, 5)

    /** Time after which a late call is carried out. */
    fun lateDelayMillis(): Long = maxOf(0, downUntilMillis - time.nowMillis) + random.nextLong(1_000, 6_000)

    /** Time by which the answer of a feed comes later than others. */
    fun lagMillis(): Long = if (isLagging) random.nextLong(0, 1_800) else 0

    /** Whether the history that a feed asks for is gone. */
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
