package org.verbenagauge.entry.state.control

import org.verbenagauge.entry.model.PeerId

/** Number of members that are a majority of [size] members; 0 of none. */
internal fun majorityOf(size: Int): Int = if (size == 0) 0 else size / 2 + 1

/**
 * Returns the last accepted version up to [version], and at least [accepted].
 *
 * A version is accepted when all before it are, and a majority of the members before it and a majority of the
 * members after it hold it. A member that has stopped counts as holding it, since it can neither act nor
 * confirm that others may.
 *
 * @param heldVersion last version that a member is known to hold, 0 when unknown.
 */
internal fun Membership.acceptedVersion(
    version: Long,
    accepted: Long,
    heldVersion: (PeerId) -> Long,
): Long {
    val known = maxOf(accepted, acceptedVersion)
    val current = PastMembership(startVersion, Long.MAX_VALUE, ids.toList())
    for (part in past + current) {
        if (part.endVersion <= known) continue
        val held = part.heldByMajority { if (it in stopped) Long.MAX_VALUE else heldVersion(it) }
        if (held >= part.endVersion) continue
        val limit = if (held < part.startVersion) part.startVersion - 1 else held
        return maxOf(known, minOf(version, limit))
    }
    return maxOf(known, version)
}

private fun PastMembership.heldByMajority(heldVersion: (PeerId) -> Long): Long {
    val needed = majorityOf(ids.size)
    if (needed == 0) return Long.MAX_VALUE
    return ids.map(heldVersion).sortedDescending()[needed - 1]
}
