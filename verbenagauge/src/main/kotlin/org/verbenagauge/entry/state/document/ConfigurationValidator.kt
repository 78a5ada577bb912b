package org.verbenagauge.entry.state.document

private val namePattern = Regex("[a-z0-9][a-z0-9-]{0,62}")
private val hashPattern = Regex("[0-9a-f]{64}")
private const val MINUTES_PER_DAY = 24 * 60
private const val MAX_PER_WORKER = 1_000_000

// A year.
private const val MAX_MILLIS = 31_622_400_000L

/** Returns each problem of [configuration], naming the field; empty when the document is valid. */
public fun validate(configuration: Configuration): List<String> =
    buildList {
        addAll(duplicates("pools", configuration.pools.map { it.id }))
        addAll(duplicates("teams", configuration.teams.map { it.id }))
        addAll(duplicates("queues", configuration.queues.map { it.id }))
        configuration.pools.forEach { addAll(poolProblems(it)) }
        configuration.teams.forEach { addAll(teamProblems(it)) }
        addAll(duplicates("teams.keys", configuration.teams.flatMap { team -> team.keys.map { it.sha256Hex } }))
        configuration.queues.forEach { addAll(queueProblems(it, configuration)) }
        addAll(duplicates("operators", configuration.operators.map { it.id }))
        addAll(duplicates("operators.keySha256Hex", configuration.operators.map { it.keySha256Hex }))
        configuration.operators.forEach { addAll(operatorProblems(it)) }
        addAll(fleetProblems(configuration))
    }

internal fun duplicates(
    field: String,
    ids: List<String>,
): List<String> =
    ids
        .groupingBy { it }
        .eachCount()
        .filterValues { it > 1 }
        .keys
        .map { "$field: '$it' stands more than once" }

internal fun nameProblem(
    field: String,
    id: String,
): String? = if (namePattern.matches(id)) null else "$field: '$id' must be 1 to 63 of a-z, 0-9 and '-'"

private fun poolProblems(pool: Pool): List<String> =
    listOfNotNull(
        nameProblem("pools.id", pool.id),
        "pools['${pool.id}'].slotsPerWorker: must be at least 1".takeIf { pool.slotsPerWorker < 1 },
        "pools['${pool.id}'].connectionsPerWorker: must be at least slotsPerWorker"
            .takeIf { pool.connectionsPerWorker < pool.slotsPerWorker },
        "pools['${pool.id}'].connectionsPerWorker: must be at most $MAX_PER_WORKER"
            .takeIf { pool.connectionsPerWorker > MAX_PER_WORKER },
    )

private fun teamProblems(team: Team): List<String> =
    listOfNotNull(
        nameProblem("teams.id", team.id),
        "teams['${team.id}'].shareWeight: must be at least 1".takeIf { team.shareWeight < 1 },
        "teams['${team.id}'].maxRunning: must be at least 0".takeIf { team.maxRunning < 0 },
    ) +
        duplicates("teams['${team.id}'].keys", team.keys.map { it.id }) +
        team.keys.flatMap { keyProblems(team, it) }

private fun keyProblems(
    team: Team,
    key: TeamKey,
): List<String> =
    listOfNotNull(
        nameProblem("teams['${team.id}'].keys.id", key.id),
        hashProblem("teams['${team.id}'].keys['${key.id}'].sha256Hex", key.sha256Hex),
    )

private fun operatorProblems(operator: OperatorAccount): List<String> =
    listOfNotNull(
        nameProblem("operators.id", operator.id),
        hashProblem("operators['${operator.id}'].keySha256Hex", operator.keySha256Hex),
    )

private fun hashProblem(
    field: String,
    hash: String,
): String? = if (hashPattern.matches(hash)) null else "$field: must be 64 hexadecimal digits in lower case"

private fun queueProblems(
    queue: Queue,
    configuration: Configuration,
): List<String> =
    listOfNotNull(
        nameProblem("queues.id", queue.id),
        "queues['${queue.id}'].poolId: pool '${queue.poolId}' does not exist"
            .takeIf { configuration.pools.none { it.id == queue.poolId } },
        "queues['${queue.id}'].maxQueued: must be at least 1".takeIf { queue.maxQueued < 1 },
        "queues['${queue.id}'].maxWaitMillis: must be at least 1".takeIf { queue.maxWaitMillis < 1 },
        "queues['${queue.id}'].maxWaitMillis: must be at most $MAX_MILLIS".takeIf { queue.maxWaitMillis > MAX_MILLIS },
        "queues['${queue.id}'].maxRunMillis: must be at least 1".takeIf { queue.maxRunMillis < 1 },
        "queues['${queue.id}'].maxRunMillis: must be at most $MAX_MILLIS".takeIf { queue.maxRunMillis > MAX_MILLIS },
        "queues['${queue.id}'].finishByMinuteOfDay: must be from 0 to ${MINUTES_PER_DAY - 1}"
            .takeIf { queue.finishByMinuteOfDay != null && queue.finishByMinuteOfDay !in 0 until MINUTES_PER_DAY },
    ) +
        queue.teamIds
            .filter { teamId -> configuration.teams.none { it.id == teamId } }
            .map { "queues['${queue.id}'].teamIds: team '$it' does not exist" }
