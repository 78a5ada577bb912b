package org.verbenagauge.entry.account

private const val MAX_COUNTS = 500
private const val REST = "*"

/** Counts requests for which there is no room for a record of each. */
internal class AnswerCounter {
    private val counts = HashMap<AnswerCount, Long>()

    /** Counts [event]. */
    fun add(event: AccountEvent.Answered) {
        val exact = AnswerCount(event.teamId, event.queueId, event.reason, 0)
        val key = if (exact in counts || counts.size < MAX_COUNTS) exact else exact.copy(queueId = REST)
        counts.merge(key, 1, Long::plus)
    }

    /** Returns the counts and starts again from 0; null when nothing was counted. */
    fun take(): AccountEvent.Counted? {
        if (counts.isEmpty()) return null
        val taken = counts.map { (key, count) -> key.copy(count = count) }
        counts.clear()
        return AccountEvent.Counted(taken.sortedWith(compareBy({ it.teamId.orEmpty() }, { it.queueId }, { it.reason })))
    }
}
