package org.verbenagauge.entry.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.verbenagauge.entry.model.HolderId
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.Resource
import org.verbenagauge.entry.model.ResourceCount
import org.verbenagauge.entry.model.RightsGroup

/** Messages that move rights between entries, and that say where they are needed. */
@OptIn(ExperimentalSerializationApi::class)
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
    @SerialName("give")
    public data class Transfer(
        @CborLabel(1) val stays: Stays,
        @CborLabel(2) val totals: List<ResourceTotal>,
        @CborLabel(3) val stopping: Boolean = false,
    ) : RightsMessage

    /**
     * Confirms rights received.
     *
     * @property stays stays that the rights moved between, the other way round.
     * @property totals rights received from it in all.
     */
    @Serializable
    @SerialName("got")
    public data class Receipt(
        @CborLabel(1) val stays: Stays,
        @CborLabel(2) val totals: List<ResourceTotal>,
    ) : RightsMessage

    /**
     * Tells the home of groups what this entry holds and needs.
     *
     * @property sequence rises with each report and each transfer of the sender.
     * @property stopping whether the sender takes no more rights.
     */
    @Serializable
    @SerialName("need")
    public data class DemandReport(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val stopping: Boolean,
        @CborLabel(3) val groups: List<GroupReport>,
    ) : RightsMessage

    /** Tells an entry what it should hold, and which rights to give to whom. */
    @Serializable
    @SerialName("move")
    public data class Order(
        @CborLabel(1) val groups: List<GroupOrder>,
    ) : RightsMessage

    /** Asks for the account with [departed], the former members. */
    @Serializable
    @SerialName("sum?")
    public data class AccountRequest(
        @CborLabel(1) val departed: List<HolderId>,
    ) : RightsMessage

    /**
     * Account with [departed], which the sender accepts nothing from any more.
     *
     * @property counts rights sent to them less rights received from them.
     */
    @Serializable
    @SerialName("sum")
    public data class Account(
        @CborLabel(1) val departed: List<HolderId>,
        @CborLabel(2) val counts: List<ResourceCount>,
    ) : RightsMessage
}

/**
 * Stays among the members that a message belongs to.
 *
 * @property fromVersion version from which the sender may hold rights.
 * @property toVersion version from which the receiver may hold rights.
 * @property toIncarnation incarnation of the receiver.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class Stays(
    @CborLabel(1) val fromVersion: Long,
    @CborLabel(2) val toVersion: Long,
    @CborLabel(3) val toIncarnation: Long,
)

/**
 * Cumulative number of rights.
 *
 * @property resource resource.
 * @property total number since the start of the incarnation.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class ResourceTotal(
    @CborLabel(1) val resource: Resource,
    @CborLabel(2) val total: Long,
)

/**
 * What an entry holds and needs of a group.
 *
 * @property held rights held.
 * @property teams demand of the teams.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class GroupReport(
    @CborLabel(1) val group: RightsGroup,
    @CborLabel(2) val held: Int,
    @CborLabel(3) val teams: List<TeamDemand>,
)

/**
 * Demand of one team.
 *
 * @property teamId team.
 * @property waiting requests that wait.
 * @property running requests that run.
 * @property started requests started since the start of the incarnation.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class TeamDemand(
    @CborLabel(1) val teamId: String,
    @CborLabel(2) val waiting: Int = 0,
    @CborLabel(3) val running: Int = 0,
    @CborLabel(4) val started: Long = 0,
)

/**
 * What an entry should do with the rights of a group.
 *
 * @property basedOn sequence of the report that the order answers.
 * @property target rights that the entry should keep.
 * @property gives rights to hand over as they become free.
 * @property elsewhere requests that other entries have started.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class GroupOrder(
    @CborLabel(1) val group: RightsGroup,
    @CborLabel(2) val basedOn: Long,
    @CborLabel(3) val target: Int,
    @CborLabel(4) val gives: List<Give> = emptyList(),
    @CborLabel(5) val elsewhere: List<TeamStarted> = emptyList(),
)

/** Rights to hand over to [to]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class Give(
    @CborLabel(1) val to: PeerId,
    @CborLabel(2) val count: Int,
)

/**
 * Requests of a team that other entries have started.
 *
 * @property started requests started.
 * @property localPermille part of the team's service that falls to the receiver, by its demand.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class TeamStarted(
    @CborLabel(1) val teamId: String,
    @CborLabel(2) val started: Long,
    @CborLabel(3) val localPermille: Int,
)
