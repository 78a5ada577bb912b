package org.verbenagauge.entry.jobs.front

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.load.AdmissionDecision
import org.verbenagauge.entry.load.AdmissionRequest
import org.verbenagauge.entry.load.AdmissionRule
import org.verbenagauge.entry.load.ExpectedWaitAdmission
import org.verbenagauge.entry.load.PressureView

/** Decides at one entry whether a job is accepted, from the load that the owner last reported. */
internal class JobAdmission(
    private val catalogue: StateCatalogue,
    private val clock: Clock,
    private val isEnabled: () -> Boolean,
    private val rule: AdmissionRule = ExpectedWaitAdmission,
) {
    /** Returns the load that the owner last reported and the age of that report; null when there is no report. */
    fun pressureView(): PressureView? {
        val observed = catalogue.owner ?: return null
        val pressure = observed.record?.pressure ?: return null
        return PressureView(pressure, clock.monotonicMillis() - observed.observedAtMillis + pressure.ageMillis)
    }

    /** Decides whether to accept the job [jobId] of [queue], which was refused [refusals] times before. */
    fun decide(
        queue: QueueConfiguration,
        jobId: String,
        record: JobRecord,
        refusals: Int,
    ): AdmissionDecision {
        val specification = record.specification
        if (!isEnabled() || specification.isLasting || specification.isScheduled) return AdmissionDecision.Accept
        val pressureView = pressureView()
        val reportedMillis =
            pressureView
                ?.pressure
                ?.byQueue
                ?.get(queue.name)
                ?.taskMillis ?: 0
        val chainMillis =
            specification.longestChainMillis {
                blendEstimate(
                    specification.steps[it].estimatedMillis,
                    reportedMillis,
                )
            }
        val objectiveMillis = queue.objectiveMillis + (queue.slackFactor * chainMillis).toLong()
        return rule.decide(
            AdmissionRequest(jobId, queue.name, record.teamName, chainMillis, objectiveMillis, refusals),
            pressureView,
        )
    }

    private fun blendEstimate(
        estimateMillis: Long,
        reportedMillis: Long,
    ): Long =
        if (reportedMillis ==
            0L
        ) {
            estimateMillis
        } else {
            reportedMillis + ((estimateMillis - reportedMillis) * ESTIMATE_WEIGHT).toLong()
        }

    private companion object {
        // Caller estimates can be off by 90 %, so they only adjust the measured time, with the weight the engine uses.
        const val ESTIMATE_WEIGHT = 0.2
    }
}
