package org.verbenagauge.entry.state.control

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.verbenagauge.entry.model.PeerId

/**
 * Entry instance whose acknowledgement counts when a change is accepted.
 *
 * @property id entry instance and its incarnation.
 * @property host IP number of its peer listener.
 * @property port TCP port of its peer listener.
 * @property zoneId availability zone.
 * @property regionId region.
 */
@Serializable
public data class Member(
    val id: PeerId,
    val host: String,
    val port: Int,
    val zoneId: String,
    val regionId: String,
)

/**
 * Members while the versions from [startVersion] up to [endVersion] (exclusive) were the last.
 *
 * @property startVersion change that made these members.
 * @property endVersion change that ended them.
 * @property ids members.
 */
@Serializable
public data class PastMembership(
    val startVersion: Long,
    val endVersion: Long,
    val ids: List<PeerId>,
)

/**
 * Members of the fleet of entry instances, agreed on through the sequence of changes.
 *
 * @property members current members, in the order of their names.
 * @property startVersion change that made the current members.
 * @property past earlier members that may still count, oldest first.
 * @property stopped past members that will never act again.
 * @property acceptedVersion version that was accepted for sure when the members last changed.
 */
@Serializable
public data class Membership(
    val members: List<Member> = emptyList(),
    val startVersion: Long = 0,
    val past: List<PastMembership> = emptyList(),
    val stopped: List<PeerId> = emptyList(),
    val acceptedVersion: Long = 0,
) {
    /** Identities of the current members, in the order of their names. */
    public val ids: Set<PeerId> by lazy { members.mapTo(LinkedHashSet()) { it.id } }

    /** Returns the current member [id], or null. */
    public fun member(id: PeerId): Member? = members.firstOrNull { it.id == id }

    /** Whether [id] is a current member. */
    public operator fun contains(id: PeerId): Boolean = id in ids
}

/** Edit of the members; each carries the version that its author knew to be accepted. */
@Serializable
public sealed interface MembershipEdit : Edit {
    /** Version that the author knew to be accepted; older memberships are forgotten. */
    public val acceptedVersion: Long

    /**
     * Adds [member]. It replaces an earlier incarnation of the same entry instance. A member that had the
     * same address has stopped for sure, since the platform gives an address to one process at a time.
     */
    @Serializable
    @SerialName("join-member")
    public data class Join(
        val member: Member,
        override val acceptedVersion: Long,
    ) : MembershipEdit

    /** Removes [id] for [cause]. */
    @Serializable
    @SerialName("remove-member")
    public data class Remove(
        val id: PeerId,
        val cause: RemoveCause,
        override val acceptedVersion: Long,
    ) : MembershipEdit
}

/** Why a member is removed. */
@Serializable
public enum class RemoveCause {
    /** Its peers have not heard of it; it may be paused or cut off, and may come back. */
    SILENT,

    /** It has stopped acting and removes itself. */
    LEFT,

    /** An operator says that its process has ended; this may also be said of a past member. */
    STOPPED,
}

/** Applies [edit] as the change [version]. */
internal fun Membership.edited(
    edit: MembershipEdit,
    version: Long,
): PartOutcome<Membership> =
    when (edit) {
        is MembershipEdit.Join -> join(edit, version)
        is MembershipEdit.Remove -> remove(edit, version)
    }

private fun Membership.join(
    edit: MembershipEdit.Join,
    version: Long,
): PartOutcome<Membership> {
    val joining = edit.member
    if (joining.id in this) return rejected("entry '${joining.id.entryId}' is a member already")
    if (joining.id in stopped) return rejected("entry '${joining.id.entryId}' has stopped; use a new incarnation")
    val displaced = members.filter { it.id.entryId == joining.id.entryId || it.hasAddressOf(joining) }
    val next = (members - displaced.toSet() + joining).sortedBy { it.id.entryId }
    val ended = displaced.filter { it.hasAddressOf(joining) }.map { it.id }
    return PartOutcome.Edited(next(next, ended, edit, version))
}

private fun Membership.remove(
    edit: MembershipEdit.Remove,
    version: Long,
): PartOutcome<Membership> {
    val wasMember = edit.id !in stopped && past.any { edit.id in it.ids }
    return when {
        edit.id in this -> {
            val ended = if (edit.cause == RemoveCause.SILENT) emptyList() else listOf(edit.id)
            PartOutcome.Edited(next(members.filter { it.id != edit.id }, ended, edit, version))
        }
        edit.cause == RemoveCause.STOPPED && wasMember -> PartOutcome.Edited(copy(stopped = stopped + edit.id))
        else -> rejected("entry '${edit.id.entryId}' with this incarnation is not a member")
    }
}

private fun Membership.next(
    nextMembers: List<Member>,
    ended: List<PeerId>,
    edit: MembershipEdit,
    version: Long,
): Membership {
    val accepted = maxOf(acceptedVersion, edit.acceptedVersion)
    val before = PastMembership(startVersion, version, ids.toList())
    val kept = (past + before).filter { it.endVersion > accepted }
    val keptIds = kept.flatMapTo(HashSet()) { it.ids }
    return Membership(
        members = nextMembers,
        startVersion = version,
        past = kept,
        stopped = (stopped + ended).filter { it in keptIds },
        acceptedVersion = accepted,
    )
}

private fun Member.hasAddressOf(other: Member) = host == other.host && port == other.port

private fun rejected(problem: String) = PartOutcome.Rejected(listOf(problem))
