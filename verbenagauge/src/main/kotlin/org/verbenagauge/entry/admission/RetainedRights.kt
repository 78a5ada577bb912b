package org.verbenagauge.entry.admission

import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.Rights
import java.util.PriorityQueue

/** Rights of requests whose outcome is unknown, retained for as long as they may be running on their endpoint. */
internal class RetainedRights(
    private val rights: Rights,
) {
    private val entries = PriorityQueue<Entry>(compareBy { it.untilMillis })

    /** Number of attempts whose rights are retained. */
    val size: Int get() = entries.size

    fun add(entry: Entry) {
        entries.add(entry)
    }

    /** Releases and returns the rights of the requests that can no longer be running at [nowMillis]. */
    fun releaseExpired(nowMillis: Long): List<Entry> {
        val expired = ArrayList<Entry>()
        while (entries.isNotEmpty() && entries.peek().untilMillis <= nowMillis) expired += entries.poll()
        expired.forEach(::release)
        return expired
    }

    private fun release(entry: Entry) {
        rights.release(Resource.Team(entry.teamId))
        rights.release(Resource.Slot(entry.instanceId))
    }

    /** The team right and the slot of one request, retained until [untilMillis] on the monotonic clock. */
    class Entry(
        val teamId: String,
        val instanceId: String,
        val untilMillis: Long,
    )
}
