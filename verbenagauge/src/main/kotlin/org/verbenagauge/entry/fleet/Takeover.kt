package org.verbenagauge.entry.fleet

/**
 * Lets one entry drive while it does so, and the next in rank once something has been due for too long.
 * Only saves conflicts: that two entries drive does no harm.
 */
internal class Takeover(
    private val takeoverMillis: Long,
) {
    private var version = -1L
    private var dueSinceMillis: Long? = null

    /** Whether the entry of [rank] may do [actions], which it decided on [version]. */
    fun mayAct(
        version: Long,
        actions: List<FleetAction>,
        rank: Int,
        nowMillis: Long,
    ): Boolean {
        if (version != this.version || actions.isEmpty()) {
            this.version = version
            dueSinceMillis = if (actions.isEmpty()) null else nowMillis
        }
        val since = dueSinceMillis ?: nowMillis.also { if (actions.isNotEmpty()) dueSinceMillis = it }
        return nowMillis - since >= rank * takeoverMillis
    }
}
