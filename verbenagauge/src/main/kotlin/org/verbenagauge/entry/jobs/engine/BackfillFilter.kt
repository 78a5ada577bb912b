package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobsConfiguration

/** Bounds what one scheduling pass spends on jobs behind those that found no room. */
internal class BackfillBudget {
    private var units = UNITS

    /** Whether the pass may go on. */
    val isLeft: Boolean get() = units > 0

    /** Accounts for one comparison. */
    fun takeComparison() {
        units--
    }

    /** Accounts for a visit of a job that started nothing. */
    fun takeVisit() {
        units -= UNITS_PER_VISIT
    }

    private companion object {
        const val UNITS = 400

        // A visit tries the task on every worker of the service.
        const val UNITS_PER_VISIT = 40
    }
}

/** Admits jobs that may fit on one of [workers] within the limits of their teams. */
internal class BackfillFilter(
    private val workers: List<WorkerEntry>,
    private val quota: QuotaLedger,
    private val configuration: JobsConfiguration,
    private val budget: BackfillBudget,
) : RankFilter {
    private val forLasting = FreeCapacity(workers) { it.room(isLasting = true) }
    private val forOthers = FreeCapacity(workers) { it.room(isLasting = false) }
    private val isLabelKnown = HashMap<String, Boolean>()

    init {
        refresh()
    }

    /** Reads the free capacity of the workers again. */
    fun refresh() {
        forLasting.refresh()
        forOthers.refresh()
    }

    // Lasting tasks may use all that others may.
    override fun mayFit(least: Amount): Boolean = forLasting.mayFit(least)

    override fun mayStart(
        rank: Rank,
        least: Amount,
    ): Boolean {
        val job = rank.job
        if (!mayFit(least, job.isLasting)) return false
        val limit = configuration.teams[job.record.teamName]?.limit
        return job.open.values.any { occurrence -> occurrence.steps.any { mayStart(it, limit) } }
    }

    private fun mayStart(
        step: StepEntry,
        limit: Amount?,
    ): Boolean {
        val specification = step.specification
        return step.mayStartAny &&
            mayFit(specification.demand, specification.isLasting) &&
            hasLabel(specification.requiredLabel) &&
            quota.allows(step.occurrence.job.record.teamName, specification.amount, limit)
    }

    private fun mayFit(
        demand: Amount,
        isLasting: Boolean,
    ) = (if (isLasting) forLasting else forOthers).mayFit(demand)

    private fun hasLabel(label: String): Boolean {
        if (label.isEmpty()) return true
        return isLabelKnown.getOrPut(label) { workers.any { label in it.listed.labels } }
    }

    override fun takeComparison(): Boolean {
        budget.takeComparison()
        return budget.isLeft
    }
}
