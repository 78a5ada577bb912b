package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.load.AccountShares
import org.verbenagauge.entry.load.ResourceUsage
import org.verbenagauge.entry.load.ShareChange
import org.verbenagauge.entry.load.ShareRule
import org.verbenagauge.entry.load.UnlimitedShares

/** Tracks the jobs that client accounts send and the capacity that they use, relative to their weights. */
internal class AccountUsage(
    private val state: EngineState,
) {
    /**
     * Number of jobs that an account sent.
     *
     * @property all number of accepted jobs.
     * @property surplus number of these that exceed the account's weight; jobs that become known later can change it.
     */
    class SentJobs(
        var all: Int = 0,
        var surplus: Int = 0,
    )

    private val sentByAccount = HashMap<String, SentJobs>()
    private val rule: ShareRule = if (state.limits.load.accountShares) AccountShares() else UnlimitedShares

    /** Called with each known job whose share has changed. */
    var onShareChanged: (JobEntry) -> Unit = {}

    /** Applies the weights of [configuration]. */
    fun configure(configuration: JobsConfiguration) {
        configuration.teams.values.forEach { applyShareChanges(rule.setWeight(it.name, it.weight)) }
    }

    /** Records that the job [id] was accepted. Jobs that have ended count as well, since their account sent them. */
    fun accepted(
        id: String,
        record: JobRecord,
        now: Long,
    ) {
        // Lasting and scheduled jobs are few, planned in advance and bounded by the limit of their team.
        if (record.specification.isLasting || record.specification.isScheduled) return
        sentByAccount.getOrPut(record.teamName) { SentJobs() }.all++
        applyShareChanges(rule.recordSubmission(record.teamName, id, record.acceptedUnixMillis, now))
    }

    private fun applyShareChanges(changes: List<ShareChange>) {
        changes.forEach { change ->
            val job = state.jobs[change.id] ?: return@forEach
            if (change.share.isSurplus != job.share.isSurplus) countSurplus(job, if (change.share.isSurplus) 1 else -1)
            job.share = change.share
            onShareChanged(job)
        }
    }

    private fun countSurplus(
        job: JobEntry,
        change: Int,
    ) {
        sentByAccount.getOrPut(job.record.teamName) { SentJobs() }.surplus += change
    }

    /** Returns the jobs sent since the last call, by account, and resets the counts. */
    fun drainSent(): Map<String, SentJobs> = HashMap(sentByAccount).also { sentByAccount.clear() }

    /** Returns the capacity of all listed workers. */
    fun totalCapacity(): ResourceUsage =
        state.workers.values
            .filter { it.isListed }
            .fold(Amount()) { sum, worker -> sum + worker.listed.capacity }
            .asRoomUse()

    /** Returns the number of jobs per second that [account] may send; 0 if unlimited. */
    fun weight(account: String): Double =
        state.configuration
            ?.teams
            ?.get(account)
            ?.weight ?: 0.0

    /** Returns the dominant share of [total] that [account] uses, from 0 to 1. */
    fun used(
        account: String,
        total: ResourceUsage,
    ): Double =
        state.quota
            .used(account)
            .asRoomUse()
            .dominantShare(total)

    /**
     * Returns the dominant share of [total] that [account] uses per unit of its weight; an account without a weight
     * counts as 1.
     */
    fun usagePerWeight(
        account: String,
        total: ResourceUsage,
    ): Double = used(account, total) / (weight(account).takeIf { it > 0 } ?: 1.0)

    private fun Amount.asRoomUse() = ResourceUsage(cpuMillis, memoryMegabytes, gpus)
}
