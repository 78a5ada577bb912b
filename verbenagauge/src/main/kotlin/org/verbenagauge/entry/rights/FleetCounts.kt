package org.verbenagauge.entry.rights

import org.verbenagauge.entry.peers.PeerId
import org.verbenagauge.entry.peers.TeamStarted

/** Requests that other entries have started, as the homes of the pools tell. */
internal class FleetCounts {
    private val pools = HashMap<String, PoolCounts>()

    fun startedElsewhere(
        poolId: String,
        teamId: String,
    ): Long = pools[poolId]?.counted?.get(teamId) ?: 0

    /** Adds what [home] counted since it last told; the first count of another home is where counting resumes. */
    fun update(
        home: PeerId,
        poolId: String,
        told: List<TeamStarted>,
    ) {
        val pool = pools.getOrPut(poolId) { PoolCounts(home) }
        if (pool.home != home) {
            pool.home = home
            pool.last.clear()
        }
        told.forEach { (teamId, started) ->
            val last = pool.last.put(teamId, started) ?: started
            pool.counted.merge(teamId, maxOf(0, started - last), Long::plus)
        }
    }

    private class PoolCounts(
        var home: PeerId,
    ) {
        val last = HashMap<String, Long>()
        val counted = HashMap<String, Long>()
    }
}
