package org.verbenagauge.entry.state.force

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.HeldReport
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.acceptedVersion
import org.verbenagauge.entry.state.control.limits

/**
 * Finds the last accepted version, and the last version that every entry has that may still act.
 *
 * A version is in force everywhere when every member, and every entry that was one and may not know that it is
 * one no longer, reports to hold it and has confirmed no guest of late; or else when it has been accepted for
 * so long that every confirmation of an older version has lapsed.
 */
internal class InForceTracker(
    private val localId: PeerId,
    private val limits: ForceLimits,
) {
    private val reports = HashMap<PeerId, HeldReport>()
    private val departed = HashMap<PeerId, Long>()
    private val lapses = ArrayDeque<Lapse>()
    private var firstVersion: Long? = null
    private var state = ControlState()

    /** Last accepted version that is known here. */
    var acceptedVersion: Long = 0
        private set

    /** Last version that is in force everywhere. */
    var inForceVersion: Long = 0
        private set

    /** Members that may act and are not known to hold [version] and to have confirmed no guest. */
    fun missing(version: Long): List<PeerId> =
        (state.membership.ids + departed.keys)
            .filter { it != localId }
            .filter { id -> reports[id]?.let { it.version >= version && !it.servedGuest } != true }

    /** Version that [id] is known to hold. */
    fun heldVersion(id: PeerId): Long = if (id == localId) state.version else reports[id]?.version ?: 0

    /** Notes that this entry holds [next]. Members that came and went in between unseen count until it is in force. */
    fun hold(next: ControlState) {
        val skipped = next.version > state.version + 1 && next.membership.startVersion > state.version
        if (firstVersion == null || skipped) firstVersion = next.version
        (state.membership.ids - next.membership.ids).forEach { departed[it] = next.version }
        state = next
        val relevant = next.membership.ids + departed.keys + next.membership.past.flatMap { it.ids }
        reports.keys.retainAll(relevant)
    }

    /** Notes the [report] of [from]. */
    fun reported(
        from: PeerId,
        report: HeldReport,
        nowMillis: Long,
    ) {
        val known = reports[from]
        if (known == null || report.version >= known.version) reports[from] = report
        accept(report.acceptedVersion, nowMillis)
        inForceVersion = maxOf(inForceVersion, report.inForceVersion)
    }

    /** Draws the conclusion from the reports. */
    fun conclude(
        servedGuest: Boolean,
        nowMillis: Long,
    ) {
        if (inForceVersion >= state.version && lapses.isEmpty()) return
        accept(state.membership.acceptedVersion(state.version, acceptedVersion, ::heldVersion), nowMillis)
        while (lapses.isNotEmpty() && nowMillis - lapses.first().acceptedAtMillis > limits.lapseMillis) {
            inForceVersion = maxOf(inForceVersion, lapses.removeFirst().version)
        }
        departed.values.removeIf { it <= inForceVersion }
        val target = minOf(acceptedVersion, state.version)
        val allKnown = inForceVersion >= (firstVersion ?: Long.MAX_VALUE)
        if (target > inForceVersion && allKnown && !servedGuest && missing(target).isEmpty()) inForceVersion = target
    }

    private fun accept(
        version: Long,
        nowMillis: Long,
    ) {
        if (version <= acceptedVersion) return
        acceptedVersion = version
        val last = lapses.lastOrNull()
        if (last != null && lapses.size >= 2 && nowMillis - last.acceptedAtMillis < MERGE_MILLIS) lapses.removeLast()
        lapses.addLast(Lapse(version, nowMillis))
    }

    private class Lapse(
        val version: Long,
        val acceptedAtMillis: Long,
    )

    private companion object {
        const val MERGE_MILLIS = 20L
    }
}
