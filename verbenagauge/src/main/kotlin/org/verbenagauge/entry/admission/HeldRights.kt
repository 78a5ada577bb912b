package org.verbenagauge.entry.admission

import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.rights.Rights
import java.util.PriorityQueue

/** Rights of requests whose outcome is unknown, kept as long as they may be running on their endpoint. */
internal class HeldRights(
    private val rights: Rights,
) {
    private val holds = PriorityQueue<Hold>(compareBy { it.untilMillis })

    /** Number of requests whose rights are held. */
    val size: Int get() = holds.size

    fun add(hold: Hold) {
        holds.add(hold)
    }

    /** Gives back what can't be running any more at [nowMillis], and returns it. */
    fun releaseDue(nowMillis: Long): List<Hold> {
        val due = ArrayList<Hold>()
        while (holds.isNotEmpty() && holds.peek().untilMillis <= nowMillis) due += holds.poll()
        due.forEach(::release)
        return due
    }

    private fun release(hold: Hold) {
        rights.release(Resource.Team(hold.teamId))
        rights.release(Resource.Slot(hold.instanceId))
    }

    /** Rights of one request. */
    class Hold(
        val teamId: String,
        val instanceId: String,
        val untilMillis: Long,
    )
}
