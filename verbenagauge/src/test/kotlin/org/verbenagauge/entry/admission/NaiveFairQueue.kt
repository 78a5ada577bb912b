package org.verbenagauge.entry.admission

/** Reference implementation of the order of [FairQueue]: a list that is searched and sorted at each step. */
internal class NaiveFairQueue {
    private class Entry(
        val waiting: WaitingRequest,
        val weight: Int,
    ) {
        var lane = Lane.of(waiting.queueClass)
    }

    private val entries = ArrayList<Entry>()
    private val virtualTimes = HashMap<String, Double>()
    private val weights = HashMap<String, Int>()
    private val blocked = HashSet<String>()
    private val skippedStarts = HashMap<Lane, Int>()
    private var virtualTime = 0.0

    val size get() = entries.size

    fun add(
        waiting: WaitingRequest,
        weight: Int,
    ) {
        if (entries.none { it.waiting.teamId == waiting.teamId }) {
            virtualTimes[waiting.teamId] = maxOf(virtualTimes[waiting.teamId] ?: 0.0, currentVirtualTime())
        }
        weights[waiting.teamId] = weight
        entries += Entry(waiting, weight)
    }

    fun remove(id: Long): WaitingRequest? {
        val entry = entries.firstOrNull { it.waiting.id == id } ?: return null
        entries.remove(entry)
        return entry.waiting
    }

    fun peek(tryTake: (String) -> Boolean): WaitingRequest? {
        val starving = Lane.entries.filter { (skippedStarts[it] ?: 0) >= FairQueue.MAX_SKIPPED_STARTS }.takeLast(1)
        for (lane in starving + Lane.entries) {
            while (true) {
                val next = firstIn(lane) ?: break
                if (tryTake(next.teamId)) return next
                blocked += next.teamId
            }
        }
        return null
    }

    fun start(
        id: Long,
        chargedMillis: Double,
    ) {
        val entry = entries.first { it.waiting.id == id }
        virtualTime = currentVirtualTime()
        skippedStarts[entry.lane] = 0
        Lane.entries
            .filter { it > entry.lane && firstIn(it) != null }
            .forEach { skippedStarts.merge(it, 1, Int::plus) }
        entries.remove(entry)
        charge(entry.waiting.teamId, chargedMillis)
    }

    fun charge(
        teamId: String,
        runMillis: Double,
    ) {
        val known = virtualTimes[teamId] ?: return
        virtualTimes[teamId] = known + runMillis / weights.getValue(teamId)
    }

    fun unblockAll() {
        blocked.forEach { virtualTimes[it] = maxOf(virtualTimes.getValue(it), virtualTime) }
        blocked.clear()
    }

    fun advance(nowMillis: Long): Set<WaitingRequest> {
        entries.filter { it.waiting.promoteAtMillis.let { at -> at != null && at <= nowMillis } }.forEach {
            it.lane =
                Lane.RISEN
        }
        val expired = entries.filter { it.waiting.startByMillis <= nowMillis }
        entries.removeAll(expired)
        return expired.map { it.waiting }.toSet()
    }

    private fun ready(lane: Lane) = entries.filter { it.lane == lane && it.waiting.teamId !in blocked }

    private fun firstIn(lane: Lane): WaitingRequest? =
        ready(lane)
            .map { it.waiting }
            .sortedWith(compareBy({ virtualTimes[it.teamId] }, { it.teamId }, { it.id }))
            .firstOrNull()

    private fun currentVirtualTime(): Double {
        val lowest = Lane.entries.flatMap { ready(it) }.minOfOrNull { virtualTimes.getValue(it.waiting.teamId) }
        return maxOf(virtualTime, lowest ?: virtualTime)
    }
}
