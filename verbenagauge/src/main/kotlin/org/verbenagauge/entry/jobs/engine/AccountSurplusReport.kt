package org.verbenagauge.entry.jobs.engine

/** Logs at a fixed interval what the accounts with surplus sent, what they use and how long their jobs wait. */
internal class AccountSurplusReport(
    private val state: EngineState,
    private val accounts: AccountUsage,
) {
    private class WaitingJobs(
        var jobs: Int = 0,
        var sinceMillis: Long = Long.MAX_VALUE,
    )

    private var lastLoggedAtMillis = state.startedAtMillis

    /** Logs the accounts with the most surplus if the interval has passed at [now]. */
    fun logIfDue(now: Long) {
        if (!state.limits.load.accountShares || now - lastLoggedAtMillis < INTERVAL_MILLIS) return
        lastLoggedAtMillis = now
        val sent = accounts.drainSent().filter { it.value.surplus > 0 }
        if (sent.isEmpty()) return
        val waiting = waiting()
        val total = accounts.totalCapacity()
        sent.entries.sortedByDescending { it.value.surplus }.take(MAX_ACCOUNTS).forEach { (account, count) ->
            val used = "%.1f".format(accounts.used(account, total) * PERCENT)
            val jobs = waiting[account] ?: WaitingJobs(sinceMillis = now)
            state.note(
                NoteKind.ACCOUNT_SURPLUS,
                account,
                "weight ${accounts.weight(account)} jobs/s, sent ${count.all - count.surplus} within it and " +
                    "${count.surplus} beyond it in ${INTERVAL_MILLIS / MILLIS_PER_SECOND} s, " +
                    "uses $used% of the capacity, " +
                    "${jobs.jobs} jobs waiting for their first start, the oldest for ${now - jobs.sinceMillis} ms",
            )
        }
    }

    private fun waiting(): Map<String, WaitingJobs> {
        val waiting = HashMap<String, WaitingJobs>()
        state.jobs.values.filter { !it.hasStarted && !it.specification.isScheduled }.forEach { job ->
            val ofAccount = waiting.getOrPut(job.record.teamName) { WaitingJobs() }
            ofAccount.jobs++
            ofAccount.sinceMillis = minOf(ofAccount.sinceMillis, job.acceptedAtMillis)
        }
        return waiting
    }

    private companion object {
        // Same length as the window over which shares are counted.
        const val INTERVAL_MILLIS = 5_000L
        const val MILLIS_PER_SECOND = 1_000L
        const val MAX_ACCOUNTS = 10
        const val PERCENT = 100
    }
}
