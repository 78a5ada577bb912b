package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.front.ObservedOwner

/**
 * What an entry knows about the owner.
 *
 * @property seen the owner's row; null before it was first read.
 * @property contactSinceMillis since when the store has answered without a gap; null while it does not answer.
 * @property storeSilenceMillis time since the store last answered.
 * @property heartbeatsStoppedAtMillis when the owner's last heartbeat arrived, if heartbeats have stopped; null
 * otherwise.
 */
internal data class OwnerObservation(
    val seen: ObservedOwner?,
    val contactSinceMillis: Long?,
    val storeSilenceMillis: Long,
    val heartbeatsStoppedAtMillis: Long?,
)

/**
 * Decides whether an entry may take over ownership. Has no state or side effects. A wrong decision is safe, since
 * workers and the store reject the old owner from the takeover on; it costs a moment without starts.
 */
internal class Vacancy(
    private val entryId: String,
    private val settings: OwnerSettings,
) {
    /**
     * Whether ownership is vacant at [now] for an entry of [rank]; higher ranks wait longer, so that entries do not
     * race.
     */
    fun isVacant(
        observation: OwnerObservation,
        rank: Int,
        now: Long,
    ): Boolean {
        val seen = observation.seen ?: return false
        val contactMillis = observation.contactSinceMillis?.let { now - it } ?: return false
        if (observation.storeSilenceMillis > MAX_STORE_SILENCE_MILLIS) return false
        val unchangedMillis = now - seen.observedAtMillis - rank * DELAY_PER_RANK_MILLIS
        val ownerId = seen.record?.entryId.orEmpty()
        return when {
            ownerId.isEmpty() -> unchangedMillis >= 0
            // The row was written by an earlier process of this entry, which has ended.
            ownerId == entryId -> true
            (seen.ageAtStartMillis ?: 0) > STALE_AT_START_MILLIS -> unchangedMillis >= 0
            isSuspect(observation, seen) -> unchangedMillis >= SUSPECT_TAKEOVER_MILLIS
            // After a store outage, the owner has the time of two renewals to renew its row.
            contactMillis < 2 * settings.renewIntervalMillis -> false
            else -> unchangedMillis > settings.leaseMillis + settings.takeoverMarginMillis
        }
    }

    /**
     * Returns the time from [now] on in which ownership becomes vacant for no rank unless the row changes; 0 when it
     * may be vacant at any moment.
     */
    fun certainlyHeldMillis(
        seen: ObservedOwner?,
        now: Long,
    ): Long {
        val ownerId = seen?.record?.entryId.orEmpty()
        if (seen == null || ownerId.isEmpty() || ownerId == entryId) return 0
        if ((seen.ageAtStartMillis ?: 0) > STALE_AT_START_MILLIS) return 0
        return maxOf(0, minOf(SUSPECT_TAKEOVER_MILLIS, settings.leaseMillis) - (now - seen.observedAtMillis))
    }

    // An owner that keeps renewing its row after its heartbeats have stopped is only disconnected from this entry.
    private fun isSuspect(
        observation: OwnerObservation,
        seen: ObservedOwner,
    ): Boolean {
        val stoppedAtMillis = observation.heartbeatsStoppedAtMillis ?: return false
        return seen.observedAtMillis - stoppedAtMillis < 2 * settings.renewIntervalMillis
    }

    private companion object {
        const val DELAY_PER_RANK_MILLIS = 100L
        const val MAX_STORE_SILENCE_MILLIS = 1_700L

        // Clocks of machines may differ by two seconds; a live owner renews its row every 0.4 s.
        const val STALE_AT_START_MILLIS = 2_500L

        // The row of a silent owner has not changed for two renewal intervals.
        const val SUSPECT_TAKEOVER_MILLIS = 800L
    }
}
