package org.verbenagauge.entry.jobs.engine

import java.util.PriorityQueue
import java.util.TreeSet

/** Surplus of one service: a line an account, and a choice among accounts that looks at what they use when their turn comes. */
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

        // Jobs of the account that got nothing in this pass.
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

    /** All jobs, in no order among accounts. */
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
     * Jobs in the order in which they get room, told one by one while room is given: next comes the account that uses the
     * smallest dominant share for its weight, behind those of which fewer jobs were passed over in vain.
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
