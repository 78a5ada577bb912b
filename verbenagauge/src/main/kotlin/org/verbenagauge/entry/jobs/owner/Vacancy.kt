package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.front.SeenOwner

/**
 * What an entry knows of the owner.
 *
 * @property seen the owner's row; null before it was read.
 * @property contactSinceMillis since when the store has answered without a gap; null while it does not.
 * @property storeSilenceMillis time since the store last answered.
 * @property heartbeatsStoppedAtMillis when the owner's last beat came, if they have stopped coming; null otherwise.
 */
internal data class OwnerObservation(
    val seen: SeenOwner?,
    val contactSinceMillis: Long?,
    val storeSilenceMillis: Long,
    val heartbeatsStoppedAtMillis: Long?,
)

/**
 * Says whether an entry may take the duty of the owner. A pure decision. A wrong guess is safe, since workers and the
 * store refuse the old owner from the takeover on; it costs a moment without starts.
 */
internal class Vacancy(
    private val entryId: String,
    private val settings: OwnerSettings,
) {
    /** Whether the duty is vacant at [now] for the entry of [rank]; later ranks wait longer, so that they do not race. */
    fun isVacant(
        observation: OwnerObservation,
        rank: Int,
        now: Long,
    ): Boolean {
        val seen = observation.seen ?: return false
        val contactMillis = observation.contactSinceMillis?.let { now - it } ?: return false
        if (observation.storeSilenceMillis > MAX_STORE_SILENCE_MILLIS) return false
        val unchangedMillis = now - seen.seenAtMillis - rank * DELAY_PER_RANK_MILLIS
        val ownerId = seen.record?.entryId.orEmpty()
        return when {
            ownerId.isEmpty() -> unchangedMillis >= 0
            // The row is of an earlier process of this entry, which has ended.
            ownerId == entryId -> true
            (seen.ageAtStartMillis ?: 0) > STALE_AT_START_MILLIS -> unchangedMillis >= 0
            isSuspect(observation, seen) -> unchangedMillis >= SUSPECT_TAKEOVER_MILLIS
            // After an outage the owner gets the time of two renewals to be heard again.
            contactMillis < 2 * settings.renewIntervalMillis -> false
            else -> unchangedMillis > settings.leaseMillis + settings.takeoverMarginMillis
        }
    }

    /**
     * Time from [now] on in which the duty becomes vacant for no rank unless the row changes; 0 when it may be vacant at any
     * moment.
     */
    fun certainlyHeldMillis(
        seen: SeenOwner?,
        now: Long,
    ): Long {
        val ownerId = seen?.record?.entryId.orEmpty()
        if (seen == null || ownerId.isEmpty() || ownerId == entryId) return 0
        if ((seen.ageAtStartMillis ?: 0) > STALE_AT_START_MILLIS) return 0
        return maxOf(0, minOf(SUSPECT_TAKEOVER_MILLIS, settings.leaseMillis) - (now - seen.seenAtMillis))
    }

    // An owner that goes on renewing its row after its beats have stopped is only cut off from this entry.
    private fun isSuspect(
        observation: OwnerObservation,
        seen: SeenOwner,
    ): Boolean {
        val stoppedAtMillis = observation.heartbeatsStoppedAtMillis ?: return false
        return seen.seenAtMillis - stoppedAtMillis < 2 * settings.renewIntervalMillis
    }

    private companion object {
        const val DELAY_PER_RANK_MILLIS = 100L
        const val MAX_STORE_SILENCE_MILLIS = 1_700L

        // Clocks of machines may differ by two seconds; the row of an owner that lives is renewed every 0.4 s.
        const val STALE_AT_START_MILLIS = 2_500L

        // The row of a silent owner has not changed for two renewals.
        const val SUSPECT_TAKEOVER_MILLIS = 800L
    }
}
