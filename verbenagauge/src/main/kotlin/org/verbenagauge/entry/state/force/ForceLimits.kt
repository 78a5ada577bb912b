package org.verbenagauge.entry.state.force

private const val DRIFT_DIVISOR = 50

/**
 * Bounds of the freshness rule. All ages count from the sending of a question on the monotonic clock of the
 * process that sent it.
 *
 * @property staleAfterMillis age of the last confirmation beyond which an entry must not act.
 * @property firstPollMillis age from which polling entries ask the table service.
 * @property relayMillis age from which an entry asks a polling entry.
 * @property urgentMillis age from which an entry asks the table service and a majority by itself.
 * @property askAgainMillis shortest time between two questions to the same peer.
 * @property silentMemberMillis time without any message after which a member is removed.
 */
internal data class ForceLimits(
    val staleAfterMillis: Long = 2_000,
    val firstPollMillis: Long = 300,
    val relayMillis: Long = 700,
    val urgentMillis: Long = 1_200,
    val askAgainMillis: Long = 400,
    val silentMemberMillis: Long = 10_000,
) {
    /** Time after which a confirmation of another process has lapsed by its clock, if the clocks differ by up to 2%. */
    val lapseMillis: Long get() = staleAfterMillis + staleAfterMillis / DRIFT_DIVISOR + 1

    /** Longest true time that an age of [ageMillis] on the clock of another process can stand for. */
    fun longestAgeMillis(ageMillis: Long): Long = ageMillis + ageMillis / DRIFT_DIVISOR + 1
}
