package org.verbenagauge.entry.admission

import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.Rights
import java.util.PriorityQueue

/** Rights of requests whose outcome is unknown, kept as long as they may be running on their endpoint. */
internal class RetainedRights(
    private val rights: Rights,
) {
    private val entries = PriorityQueue<Entry>(compareBy { it.untilMillis })

    /** Number of requests whose rights are held. */
    val size: Int get() = entries.size

    fun add(entry: Entry) {
        entries.add(entry)
    }

    /** Gives back what can't be running any more at [nowMillis], and returns it. */
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

    /** Rights of one request. */
    class Entry(
        val teamId: String,
        val instanceId: String,
        val untilMillis: Long,
    )
}
