package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.load.AccountShares
import org.verbenagauge.entry.load.ResourceUsage
import org.verbenagauge.entry.load.ShareChange
import org.verbenagauge.entry.load.ShareRule
import org.verbenagauge.entry.load.UnlimitedShares

/** What client accounts send and use, beside their weights. */
internal class AccountBook(
    private val state: EngineState,
) {
    /**
     * Jobs that an account sent.
     *
     * @property all jobs that were accepted.
     * @property surplus those of them that lie beyond its weight, as known so far.
     */
    class SentJobs(
        var all: Int = 0,
        var surplus: Int = 0,
    )

    private val sentByAccount = HashMap<String, SentJobs>()
    private val rule: ShareRule = if (state.limits.load.accountShares) AccountShares() else UnlimitedShares

    /** Told each job that was taken in before and now has another place. */
    var onMoved: (JobEntry) -> Unit = {}

    /** Takes in the weights of [configuration]. */
    fun configure(configuration: JobsConfiguration) {
        configuration.teams.values.forEach { move(rule.setWeight(it.name, it.weight)) }
    }

    /** Takes note that the job [id] was accepted; of one that has ended as well, since it was sent like any other. */
    fun accepted(
        id: String,
        record: JobRecord,
        now: Long,
    ) {
        // They are agreed on long before they run, few, and bounded by the limit of their team.
        if (record.specification.isLasting || record.specification.isScheduled) return
        sentByAccount.getOrPut(record.teamName) { SentJobs() }.all++
        move(rule.recordSubmission(record.teamName, id, record.acceptedUnixMillis, now))
    }

    private fun move(changes: List<ShareChange>) {
        changes.forEach { change ->
            val job = state.jobs[change.id] ?: return@forEach
            if (change.share.isSurplus != job.share.isSurplus) countSurplus(job, if (change.share.isSurplus) 1 else -1)
            job.share = change.share
            onMoved(job)
        }
    }

    private fun countSurplus(
        job: JobEntry,
        change: Int,
    ) {
        sentByAccount.getOrPut(job.record.teamName) { SentJobs() }.surplus += change
    }

    /** Returns what accounts sent since the last call. */
    fun takeSent(): Map<String, SentJobs> = HashMap(sentByAccount).also { sentByAccount.clear() }

    /** Room of all workers that are listed. */
    fun totalRoom(): ResourceUsage =
        state.workers.values
            .filter { it.isListed }
            .fold(Amount()) { sum, worker -> sum + worker.listed.capacity }
            .asRoom()

    /** Pieces of work a second that [account] may send; 0 for any number. */
    fun weight(account: String): Double =
        state.configuration
            ?.teams
            ?.get(account)
            ?.weight ?: 0.0

    /** Part of [total] that [account] uses, 0 to 1. */
    fun used(
        account: String,
        total: ResourceUsage,
    ): Double =
        state.quota
            .used(account)
            .asRoom()
            .dominantShare(total)

    /** Part of [total] that [account] uses for each unit of its weight; an account without weight counts as one of 1. */
    fun usedOverWeight(
        account: String,
        total: ResourceUsage,
    ): Double = used(account, total) / (weight(account).takeIf { it > 0 } ?: 1.0)

    private fun Amount.asRoom() = ResourceUsage(cpuMillis, memoryMegabytes, gpus)
}
