package org.verbenagauge.entry.jobs.engine

import java.util.PriorityQueue
import java.util.TreeSet

/** Surplus jobs of one service by account, with an order among accounts that follows their current usage. */
internal class SurplusJobs(
    private val accounts: AccountUsage,
) {
    private class AccountCursor(
        val account: String,
        ranks: Iterable<Rank>,
    ) {
        private val rest = ranks.iterator()
        var front: Rank = rest.next()
            private set

        // Number of jobs of the account that were offered capacity in this pass and started nothing.
        var skippedJobs = 0
        var usagePerWeight = 0.0

        fun advance(): Boolean {
            if (!rest.hasNext()) return false
            front = rest.next()
            return true
        }
    }

    private val ranksByAccount = HashMap<String, TreeSet<Rank>>()

    val isEmpty: Boolean get() = ranksByAccount.isEmpty()

    /** Returns the ranks of all jobs, in no particular order among accounts. */
    fun all(): Sequence<Rank> = ranksByAccount.values.asSequence().flatten()

    fun add(
        account: String,
        rank: Rank,
    ) {
        ranksByAccount.getOrPut(account) { TreeSet() } += rank
    }

    fun remove(
        account: String,
        rank: Rank,
    ) {
        val ranks = ranksByAccount[account] ?: return
        ranks -= rank
        if (ranks.isEmpty()) ranksByAccount -= account
    }

    /**
     * Returns the jobs in the order in which they start. The sequence is evaluated lazily while tasks start: the next
     * job is of the account with the fewest skipped jobs and, among these, with the smallest dominant share relative to
     * its weight.
     */
    fun inOrder(): Sequence<Rank> =
        sequence {
            val total = accounts.totalCapacity()
            val cursors = PriorityQueue(leastServed)
            ranksByAccount.mapTo(cursors) { (account, ranks) ->
                AccountCursor(account, ranks).also { it.usagePerWeight = accounts.usagePerWeight(account, total) }
            }
            while (cursors.isNotEmpty()) {
                val cursor = cursors.poll()
                yield(cursor.front)
                val used = accounts.usagePerWeight(cursor.account, total)
                if (used <= cursor.usagePerWeight) cursor.skippedJobs++
                cursor.usagePerWeight = used
                if (cursor.advance()) cursors += cursor
            }
        }

    private companion object {
        val leastServed =
            compareBy<AccountCursor>({ it.skippedJobs }, { it.usagePerWeight }).thenBy { it.front }
    }
}
