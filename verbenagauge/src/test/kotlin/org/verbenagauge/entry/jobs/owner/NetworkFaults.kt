package org.verbenagauge.entry.jobs.owner

import kotlin.random.Random

/** What becomes of one call to a worker. */
internal enum class WireOutcome {
    /** Carried out and answered. */
    SERVED,

    /** Lost on its way. */
    LOST,

    /** Carried out; the answer is lost. */
    ANSWER_LOST,

    /** Carried out seconds later; not answered. */
    LATE,

    /** Turned away by a worker that is not healthy. */
    UNHEALTHY,
}

/** What troubles the ways between entries and workers, and between entries. */
internal class NetworkFaults(
    private val time: VirtualTime,
    private val random: Random,
) {
    private var noisyUntilMillis = 0L
    private val cutUntilMillis = HashMap<Pair<String, String>, Long>()
    private val isNoisy: Boolean get() = time.nowMillis < noisyUntilMillis

    /** Lets calls be lost, late and slow for [forMillis]. */
    fun disturb(forMillis: Long) {
        noisyUntilMillis = time.nowMillis + forMillis
    }

    /** Lets nothing pass from [one] to [other] for [forMillis]; not the other way round. */
    fun cut(
        one: String,
        other: String,
        forMillis: Long,
    ) {
        cutUntilMillis[one to other] = time.nowMillis + forMillis
    }

    /** Ends all trouble. */
    fun clear() {
        noisyUntilMillis = 0
        cutUntilMillis.clear()
    }

    /** Whether something passes from [one] to [other] now. */
    fun passes(
        one: String,
        other: String,
    ): Boolean = time.nowMillis >= (cutUntilMillis[one to other] ?: 0)

    /** What becomes of a call from [entryId] to [machine] that is made now. */
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

    /** Time of one way of a call. */
    fun oneWayMillis(): Long =
        if (isNoisy && random.nextInt(SLOW_ONE_IN) == 0) random.nextLong(10, 450) else random.nextLong(1, 4)

    /** Time after which a late call is carried out. */
    fun lateDelayMillis(): Long = random.nextLong(2_000, 12_000)

    /** Whether a message between entries is lost, cuts aside. */
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
