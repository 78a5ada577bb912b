package org.verbenagauge.entry.state.document

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The document that operators change: pools, teams, queues, waves and operators.
 *
 * @property pools pools of instances.
 * @property teams teams that submit jobs.
 * @property queues queues that callers name.
 * @property operators operators and what they may change.
 * @property waves maintenance waves.
 * @property moves moves of single instances between pools.
 */
@Serializable
public data class Configuration(
    val pools: List<Pool> = emptyList(),
    val teams: List<Team> = emptyList(),
    val queues: List<Queue> = emptyList(),
    val operators: List<OperatorAccount> = emptyList(),
    val waves: List<Wave> = emptyList(),
    val moves: List<InstanceMove> = emptyList(),
)

/**
 * A pool of instances.
 *
 * @property id name of the pool.
 * @property service service that the instances run.
 * @property budget how many instances may be away.
 * @property slotsPerWorker requests that one worker runs at once, over all entries.
 * @property connectionsPerWorker connections that one worker accepts, over all entries.
 * @property spare whether this pool covers others during maintenance.
 */
@Serializable
public data class Pool(
    val id: String,
    val service: String,
    val budget: AvailabilityBudget = AvailabilityBudget(),
    val slotsPerWorker: Int = 8,
    val connectionsPerWorker: Int = 64,
    val spare: Boolean = false,
)

/**
 * How many instances of a pool may be away at once, planned and unplanned together.
 *
 * @property maxAway instances of the pool that may be away.
 * @property maxAwayPercent share of the pool that may be away, rounded down; replaces [maxAway] when given.
 * @property maxAwayPerRack instances of one rack that may be away, or null for no such bound.
 * @property maxAwayPerZone instances of one availability zone that may be away, or null for no such bound.
 */
@Serializable
public data class AvailabilityBudget(
    val maxAway: Int = 1,
    val maxAwayPercent: Int? = null,
    val maxAwayPerRack: Int? = null,
    val maxAwayPerZone: Int? = null,
) {
    /** Returns how many instances of a pool with [size] instances may be away. */
    public fun maxAwayOf(size: Int): Int = if (maxAwayPercent == null) maxAway else size * maxAwayPercent / PERCENT

    private companion object {
        const val PERCENT = 100
    }
}

/**
 * A client account that submits jobs.
 *
 * @property id name of the team.
 * @property keys keys in force; only their hashes are kept.
 * @property shareWeight weight of the team when the fleet is full.
 * @property maxRunning upper limit of requests running at once over the fleet.
 */
@Serializable
public data class Team(
    val id: String,
    val keys: List<TeamKey> = emptyList(),
    val shareWeight: Int = 1,
    val maxRunning: Int,
)

/**
 * A key of a team.
 *
 * @property id names the key to operators.
 * @property sha256Hex SHA-256 of the key, 64 lower-case hexadecimal digits.
 */
@Serializable
public data class TeamKey(
    val id: String,
    val sha256Hex: String,
)

/**
 * A queue that callers submit to.
 *
 * @property id name of the queue, as in the path.
 * @property poolId pool whose instances run the jobs.
 * @property queueClass urgency.
 * @property idempotent whether a request may run more than once.
 * @property openToAll whether requests without a key are accepted.
 * @property teamIds teams that may use the queue; empty for all teams.
 * @property maxQueued requests that wait at once in one entry instance.
 * @property maxWaitMillis longest wait for a start.
 * @property maxRunMillis longest run on an endpoint.
 * @property finishByMinuteOfDay minute of the day (UTC) by which deferrable work must have finished, or null.
 */
@Serializable
public data class Queue(
    val id: String,
    val poolId: String,
    val queueClass: QueueClass = QueueClass.ORDINARY,
    val idempotent: Boolean = false,
    val openToAll: Boolean = false,
    val teamIds: List<String> = emptyList(),
    val maxQueued: Int = 1_000,
    val maxWaitMillis: Long = 10_000,
    val maxRunMillis: Long = 30_000,
    val finishByMinuteOfDay: Int? = null,
)

/** Urgency of a queue. */
@Serializable
public enum class QueueClass {
    /** Starts ahead of all other work. */
    @SerialName("urgent")
    URGENT,

    /** Ordered by share. */
    @SerialName("ordinary")
    ORDINARY,

    /** Runs when nothing else waits, and ahead of that when its finish-by time comes near. */
    @SerialName("deferrable")
    DEFERRABLE,
}
