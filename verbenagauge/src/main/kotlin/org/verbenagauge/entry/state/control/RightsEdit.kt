package org.verbenagauge.entry.state.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.verbenagauge.entry.model.HolderId
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.model.ResourceCount

/** Edit of the rights that holders have from the change log. */
@Serializable
public sealed interface RightsEdit : Edit {
    /** Grants rights that nobody holds, up to the limits. */
    @Serializable
    @SerialName("grant-rights")
    public data class GrantRights(
        val grants: List<HolderCounts>,
    ) : RightsEdit

    /**
     * Takes rights back that [holder] has already stopped using.
     *
     * @property number counts the surrenders of the holder from 1, so that one is never applied twice.
     */
    @Serializable
    @SerialName("surrender-rights")
    public data class Surrender(
        val holder: PeerId,
        val number: Long,
        val counts: List<ResourceCount>,
    ) : RightsEdit

    /**
     * Ends the accounts of all former members. A member's report holds what it sent to them less what it
     * received from them; it accepts nothing from them any more.
     */
    @Serializable
    @SerialName("recover-rights")
    public data class Recover(
        val departed: List<HolderId>,
        val reports: List<HolderCounts>,
    ) : RightsEdit
}

/** Applies [edit] under the limits that [limitOf] gives. */
internal fun RightsState.edited(
    edit: RightsEdit,
    limitOf: (Resource) -> Int,
): PartOutcome<RightsState> =
    when (edit) {
        is RightsEdit.GrantRights -> grant(edit, limitOf)
        is RightsEdit.Surrender -> surrender(edit)
        is RightsEdit.Recover -> recover(edit)
    }

private fun RightsState.grant(
    edit: RightsEdit.GrantRights,
    limitOf: (Resource) -> Int,
): PartOutcome<RightsState> {
    val members = members()
    val strangers = edit.grants.filter { it.holder !in members }.map { "'${it.holder}' is not a member" }
    val counts = edit.grants.flatMap { it.counts }
    val empty = counts.filter { it.count < 1 }.map { "grant of ${it.resource} must be at least 1" }
    if (strangers.isNotEmpty() || empty.isNotEmpty()) return PartOutcome.Rejected(strangers + empty)
    val next = edit.grants.fold(this) { state, grant -> state.adding(grant.holder, grant.counts) }
    val excess =
        counts
            .map { it.resource }
            .distinct()
            .filter { next.granted(it) > limitOf(it) }
            .map { "rights of $it would exceed its limit of ${limitOf(it)}" }
    return if (excess.isEmpty()) PartOutcome.Edited(next) else PartOutcome.Rejected(excess)
}

private fun RightsState.surrender(edit: RightsEdit.Surrender): PartOutcome<RightsState> {
    val holder = holders.firstOrNull { it.id.id == edit.holder && it.departedVersion == null }
    if (holder == null) {
        return PartOutcome.Rejected(listOf("'${edit.holder}' is not a member"))
    }
    if (edit.number != holder.surrenders + 1) {
        return PartOutcome.Rejected(
            listOf("surrender ${edit.number} of '${edit.holder}' does not follow ${holder.surrenders}"),
        )
    }
    val next = adding(edit.holder, edit.counts.map { ResourceCount(it.resource, -it.count) })
    val wrong =
        edit.counts
            .filter {
                it.count < 1 ||
                    next.granted(
                        it.resource,
                    ) < 0
            }.map { "surrender of ${it.resource} is too large" }
    if (wrong.isNotEmpty()) return PartOutcome.Rejected(wrong)
    val counted = next.holders.map { if (it.id.id == edit.holder) it.copy(surrenders = edit.number) else it }
    return PartOutcome.Edited(next.copy(holders = counted))
}

// Folds the accounts of the members with the former members into the base grants of the members. What is
// left to the former members is then exactly what they held, and what was under way from or to them.
private fun RightsState.recover(edit: RightsEdit.Recover): PartOutcome<RightsState> {
    val former = departed().mapTo(HashSet()) { it.id }
    if (former.isEmpty() || edit.departed.toSet() != former) {
        return PartOutcome.Rejected(listOf("'departed' must name all former members: $former"))
    }
    val members = members().keys
    if (edit.reports.size != members.size || edit.reports.mapTo(HashSet()) { it.holder } != members) {
        return PartOutcome.Rejected(listOf("'reports' must hold one report of each member"))
    }
    val departed = former.mapTo(HashSet()) { it.id }
    val group = departed.first()
    val folded =
        edit.reports.fold(this) { state, report ->
            state
                .adding(report.holder, report.counts.map { ResourceCount(it.resource, -it.count) })
                .adding(group, report.counts)
        }
    val negative = folded.grants.keys.filter { resource -> departed.sumOf { folded.base(resource, it) } < 0 }
    if (negative.isNotEmpty()) {
        return PartOutcome.Rejected(negative.map { "reports of $it give back more than was granted" })
    }
    return PartOutcome.Edited(folded.without(departed))
}
