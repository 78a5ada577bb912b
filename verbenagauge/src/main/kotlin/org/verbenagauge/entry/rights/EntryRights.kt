package org.verbenagauge.entry.rights

import kotlinx.coroutines.delay
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.settings.IdentitySettings
import org.verbenagauge.entry.state.EntryState
import org.verbenagauge.entry.state.FleetView
import org.verbenagauge.entry.state.control.limits

private const val HAND_OVER_MILLIS = 3_000L
private const val HAND_OVER_POLL_MILLIS = 20L

/** Rights of one entry, as its parts use them. */
internal class EntryRights(
    private val escrow: EscrowRights?,
    val rights: Rights,
    val fleetService: FleetService,
) {
    /** Part to run below a supervisor, or null when rights do not move. */
    val child get() = escrow

    /** Takes up a new view of the fleet. */
    fun update(view: FleetView) {
        escrow?.update(rightsView(view.control))
    }

    /** Hands all rights over to peers; returns when they have confirmed them, or after some seconds. */
    suspend fun handOver(clock: Clock) {
        val moving = escrow ?: return
        moving.stop()
        val endMillis = clock.monotonicMillis() + HAND_OVER_MILLIS
        while (!moving.isEmpty() && clock.monotonicMillis() < endMillis) delay(HAND_OVER_POLL_MILLIS)
    }
}

/**
 * Creates the rights of an entry: with peers they move between the entries, without peers each entry keeps
 * a fixed part of every limit.
 *
 * @param openTeam team without a limit that requests without a key count for.
 */
internal fun entryRights(
    identity: IdentitySettings,
    state: EntryState,
    clock: Clock,
    log: EventLog,
    openTeam: Resource.Team,
): EntryRights {
    val network = state.network ?: return EntryRights(null, splitRights(identity, state, openTeam), noFleetService)
    val proposer = ChangeLogProposer(state.changes, identity.id, log)
    val escrow = EscrowRights(network, proposer, state.service, state.service, clock, unlimited = setOf(openTeam))
    return EntryRights(escrow, escrow, escrow)
}

private fun splitRights(
    identity: IdentitySettings,
    state: EntryState,
    openTeam: Resource.Team,
) = SplitRights { resource ->
    val limit =
        if (resource == openTeam) {
            Int.MAX_VALUE
        } else {
            state.changes.state.value
                .limits()[resource] ?: 0
        }
    fixedSplit(limit, (identity.index + resource.hashCode()).mod(identity.count), identity.count)
}
