package org.verbenagauge.entry.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.verbenagauge.entry.rights.Resource
import org.verbenagauge.entry.rights.RightsGroup
import org.verbenagauge.entry.state.HolderId
import org.verbenagauge.entry.state.ResourceCount

/** Messages that move rights between entries, and that say where they are needed. */
@Serializable
public sealed interface RightsMessage : PeerMessage {
    /**
     * Hands rights over.
     *
     * @property stays stays that the rights move between; the message counts in no other.
     * @property totals rights sent to the receiver in all, since the sender started; a repeat changes nothing.
     * @property stopping whether the sender stops and takes no more rights.
     */
    @Serializable
    @SerialName("rights-transfer")
    public data class Transfer(
        val stays: Stays,
        val totals: List<ResourceTotal>,
        val stopping: Boolean = false,
    ) : RightsMessage

    /**
     * Confirms rights received.
     *
     * @property stays stays that the rights moved between, the other way round.
     * @property totals rights received from it in all.
     */
    @Serializable
    @SerialName("rights-receipt")
    public data class Receipt(
        val stays: Stays,
        val totals: List<ResourceTotal>,
    ) : RightsMessage

    /**
     * Tells the home of groups what this entry holds and needs.
     *
     * @property sequence rises with each report and each transfer of the sender.
     * @property stopping whether the sender takes no more rights.
     */
    @Serializable
    @SerialName("rights-demand")
    public data class DemandReport(
        val sequence: Long,
        val stopping: Boolean,
        val groups: List<GroupReport>,
    ) : RightsMessage

    /** Tells an entry what it should hold, and which rights to give to whom. */
    @Serializable
    @SerialName("rights-order")
    public data class Order(
        val groups: List<GroupOrder>,
    ) : RightsMessage

    /** Asks for the account with [departed], the former members. */
    @Serializable
    @SerialName("rights-account-request")
    public data class AccountRequest(
        val departed: List<HolderId>,
    ) : RightsMessage

    /**
     * Account with [departed], which the sender accepts nothing from any more.
     *
     * @property counts rights sent to them less rights received from them.
     */
    @Serializable
    @SerialName("rights-account")
    public data class Account(
        val departed: List<HolderId>,
        val counts: List<ResourceCount>,
    ) : RightsMessage
}

/**
 * Stays among the members that a message belongs to.
 *
 * @property fromVersion version from which the sender may hold rights.
 * @property toVersion version from which the receiver may hold rights.
 * @property toIncarnation incarnation of the receiver.
 */
@Serializable
public data class Stays(
    @SerialName("f") val fromVersion: Long,
    @SerialName("t") val toVersion: Long,
    @SerialName("i") val toIncarnation: Long,
)

/**
 * Cumulative number of rights.
 *
 * @property resource resource.
 * @property total number since the start of the incarnation.
 */
@Serializable
public data class ResourceTotal(
    @SerialName("r") val resource: Resource,
    @SerialName("n") val total: Long,
)

/**
 * What an entry holds and needs of a group.
 *
 * @property held rights held.
 * @property teams demand of the teams.
 */
@Serializable
public data class GroupReport(
    @SerialName("g") val group: RightsGroup,
    @SerialName("h") val held: Int,
    @SerialName("t") val teams: List<TeamDemand>,
)

/**
 * Demand of one team.
 *
 * @property teamId team.
 * @property waiting requests that wait.
 * @property running requests that run.
 * @property started requests started since the start of the incarnation.
 */
@Serializable
public data class TeamDemand(
    @SerialName("i") val teamId: String,
    @SerialName("w") val waiting: Int,
    @SerialName("u") val running: Int,
    @SerialName("s") val started: Long,
)

/**
 * What an entry should do with the rights of a group.
 *
 * @property basedOn sequence of the report that the order answers.
 * @property target rights that the entry should keep.
 * @property gives rights to hand over as they become free.
 * @property elsewhere requests that other entries have started.
 */
@Serializable
public data class GroupOrder(
    @SerialName("g") val group: RightsGroup,
    @SerialName("b") val basedOn: Long,
    @SerialName("k") val target: Int,
    @SerialName("v") val gives: List<Give>,
    @SerialName("e") val elsewhere: List<TeamStarted>,
)

/** Rights to hand over to [to]. */
@Serializable
public data class Give(
    @SerialName("p") val to: PeerId,
    @SerialName("n") val count: Int,
)

/** Requests of [teamId] that were [started]. */
@Serializable
public data class TeamStarted(
    @SerialName("i") val teamId: String,
    @SerialName("s") val started: Long,
)
