package org.verbenagauge.entry.state.document

private const val MINUTES_PER_DAY = 24 * 60
private const val MAX_PERCENT = 100

/** Returns each problem of the waves, the moves and the budgets of [configuration]. */
internal fun fleetProblems(configuration: Configuration): List<String> =
    buildList {
        val poolIds = configuration.pools.mapTo(HashSet()) { it.id }
        configuration.pools.forEach { addAll(budgetProblems(it)) }
        addAll(duplicates("waves", configuration.waves.map { it.id }))
        configuration.waves.forEach { addAll(waveProblems(it, poolIds)) }
        addAll(duplicates("moves", configuration.moves.map { it.id }))
        configuration.moves.forEach { addAll(moveProblems(it, poolIds)) }
    }

private fun budgetProblems(pool: Pool): List<String> {
    val budget = pool.budget
    return listOfNotNull(
        "pools['${pool.id}'].budget.maxAway: must be at least 0".takeIf { budget.maxAway < 0 },
        "pools['${pool.id}'].budget.maxAwayPercent: must be from 0 to $MAX_PERCENT"
            .takeIf { budget.maxAwayPercent != null && budget.maxAwayPercent !in 0..MAX_PERCENT },
        "pools['${pool.id}'].budget.maxAwayPerRack: must be at least 0"
            .takeIf { budget.maxAwayPerRack != null && budget.maxAwayPerRack < 0 },
        "pools['${pool.id}'].budget.maxAwayPerZone: must be at least 0"
            .takeIf { budget.maxAwayPerZone != null && budget.maxAwayPerZone < 0 },
    )
}

private fun waveProblems(
    wave: Wave,
    poolIds: Set<String>,
): List<String> =
    listOfNotNull(
        nameProblem("waves.id", wave.id),
        "waves['${wave.id}'].maxAtOnce: must be at least 1".takeIf { wave.maxAtOnce != null && wave.maxAtOnce < 1 },
        "waves['${wave.id}'].toleratedLosses: must be at least 0".takeIf { wave.toleratedLosses < 0 },
        "waves['${wave.id}'].drainTimeoutMillis: must be at least 1".takeIf { wave.drainTimeoutMillis < 1 },
        "waves['${wave.id}'].rebootTimeoutMillis: must be at least 1".takeIf { wave.rebootTimeoutMillis < 1 },
        "waves['${wave.id}'].hours: minutes must be from 0 to ${MINUTES_PER_DAY - 1} and differ"
            .takeIf { wave.hours != null && !isValid(wave.hours) },
    ) +
        duplicates("waves['${wave.id}'].poolOrder", wave.poolOrder) +
        unknownPools("waves['${wave.id}'].poolIds", wave.poolIds, poolIds) +
        unknownPools("waves['${wave.id}'].poolOrder", wave.poolOrder, poolIds)

private fun isValid(hours: MaintenanceHours): Boolean =
    hours.fromMinuteOfDay in 0 until MINUTES_PER_DAY &&
        hours.untilMinuteOfDay in 0 until MINUTES_PER_DAY &&
        hours.fromMinuteOfDay != hours.untilMinuteOfDay

private fun moveProblems(
    move: InstanceMove,
    poolIds: Set<String>,
): List<String> =
    listOfNotNull(
        nameProblem("moves.id", move.id),
        "moves['${move.id}'].instanceId: must not be empty".takeIf { move.instanceId.isEmpty() },
    ) + unknownPools("moves['${move.id}'].toPoolId", listOfNotNull(move.toPoolId), poolIds)

private fun unknownPools(
    field: String,
    named: List<String>,
    poolIds: Set<String>,
): List<String> = named.filter { it !in poolIds }.map { "$field: pool '$it' does not exist" }
