package org.verbenagauge.entry.rights

import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.state.control.PartOutcome
import org.verbenagauge.entry.state.control.RightsEdit
import org.verbenagauge.entry.state.control.RightsState
import org.verbenagauge.entry.state.control.edited

/** Change log in memory: the real reducer of rights, and plain edits of limits and members. */
internal class FakeRightsLog(
    private val longestRunMillis: Long,
) {
    private val views = mutableListOf(RightsView())

    var members = emptyList<PeerId>()
        private set

    val head: RightsView get() = views.last()

    fun viewAt(version: Long): RightsView = views[version.toInt()]

    fun setLimit(
        resource: Resource,
        limit: Int,
    ) = append(head.copy(limits = head.limits + (resource to limit)))

    fun setMembers(members: List<PeerId>) {
        this.members = members
        append(head)
    }

    fun setUp(next: RightsView) = append(next)

    /** Applies [edit] when the head is still at [baseVersion]; false when nothing was stored. */
    fun propose(
        baseVersion: Long,
        edit: RightsEdit,
    ): Boolean {
        if (head.version != baseVersion) return false
        val outcome = head.rights.edited(edit, head::limit)
        if (outcome !is PartOutcome.Edited<RightsState>) return false
        append(head.copy(rights = outcome.part))
        return true
    }

    private fun append(next: RightsView) {
        val version = head.version + 1
        views += next.copy(version = version, rights = next.rights.following(members, version, longestRunMillis))
    }
}
