package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import java.util.PriorityQueue

/** Surplus jobs of one service by account, with an order among accounts that follows their current usage. */
internal class SurplusJobs(
    private val accounts: AccountUsage,
) {
    private class AccountCursor(
        val account: String,
        val index: RankIndex,
    ) {
        private val rest = index.iterator()
        private var visited: Rank? = null

        /** Next job of the account; null if there is none. */
        var front: Rank? = rest.next()
            private set

        // Number of jobs of the account that were offered capacity in this pass and started nothing.
        var skippedJobs = 0
        var usagePerWeight = 0.0

        fun advance() {
            visited = front
            front = if (rest.hasNext()) rest.next() else null
        }

        fun scan(filter: RankFilter) {
            visited?.let(index::skipTo)
            front = index.scan(filter)
        }
    }

    private val indexByAccount = HashMap<String, RankIndex>()

    /** Returns the indexes of all accounts, in no particular order. */
    fun indexes(): Collection<RankIndex> = indexByAccount.values

    fun add(
        account: String,
        rank: Rank,
        demand: Amount,
    ) {
        indexByAccount.getOrPut(account) { RankIndex() }.add(rank, demand)
    }

    fun remove(
        account: String,
        rank: Rank,
    ) {
        val index = indexByAccount[account] ?: return
        index.remove(rank)
        if (index.isEmpty) indexByAccount -= account
    }

    /** Begins a pass over all jobs. */
    fun begin(): Pass = Pass()

    /**
     * One pass over the jobs in the order in which they start. It is evaluated lazily while tasks start: the next job
     * is of the account with the fewest skipped jobs and, among these, with the smallest dominant share relative to its
     * weight.
     */
    inner class Pass {
        private val total by lazy(LazyThreadSafetyMode.NONE, accounts::totalCapacity)
        private val cursors =
            indexByAccount.mapTo(PriorityQueue(leastServed)) { (account, index) ->
                AccountCursor(account, index).also { it.usagePerWeight = accounts.usagePerWeight(account, total) }
            }
        private var current: AccountCursor? = null
        private var isScanning = false

        /** Returns the next job, or null if there is none. */
        fun next(): Rank? {
            settleCurrent()?.let {
                it.advance()
                queue(it)
            }
            current = cursors.poll()
            return current?.front
        }

        /** Returns the next job that may start according to [filter], or null if there is none. */
        fun scan(filter: RankFilter): Rank? {
            val settled = settleCurrent()
            if (!isScanning) {
                isScanning = true
                settled?.advance()
                val all = listOfNotNull(settled) + cursors
                cursors.clear()
                all.forEach {
                    it.scan(filter)
                    queue(it)
                }
            } else if (settled != null) {
                settled.scan(filter)
                queue(settled)
            }
            current = cursors.poll()
            return current?.let { cursor -> cursor.front?.also(cursor.index::skipTo) }
        }

        private fun queue(cursor: AccountCursor) {
            if (cursor.front != null) cursors += cursor
        }

        private fun settleCurrent(): AccountCursor? {
            val cursor = current ?: return null
            current = null
            val used = accounts.usagePerWeight(cursor.account, total)
            if (used <= cursor.usagePerWeight) cursor.skippedJobs++
            cursor.usagePerWeight = used
            return cursor
        }
    }

    private companion object {
        val leastServed =
            compareBy<AccountCursor>({ it.skippedJobs }, { it.usagePerWeight }).thenBy { it.front }
    }
}
