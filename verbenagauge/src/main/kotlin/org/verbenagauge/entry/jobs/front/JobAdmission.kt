package org.verbenagauge.entry.jobs.front

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.load.AdmissionDecision
import org.verbenagauge.entry.load.AdmissionRequest
import org.verbenagauge.entry.load.AdmissionRule
import org.verbenagauge.entry.load.ExpectedWaitAdmission
import org.verbenagauge.entry.load.PressureView

/** Decides at one entry whether a job is taken in, by what the owner last told of load. */
internal class JobAdmission(
    private val catalogue: StateCatalogue,
    private val clock: Clock,
    private val isEnabled: () -> Boolean,
    private val rule: AdmissionRule = ExpectedWaitAdmission,
) {
    /** What the owner last told and how old that is; null when it told nothing. */
    fun pressureView(): PressureView? {
        val seen = catalogue.owner ?: return null
        val pressure = seen.record?.pressure ?: return null
        return PressureView(pressure, clock.monotonicMillis() - seen.observedAtMillis + pressure.ageMillis)
    }

    /** Decides on the job [jobId] of [queue], which was refused [refusals] times before. */
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
        // Estimates of callers can be off by nine tenths; they shade what was seen, as the engine has it.
        const val ESTIMATE_WEIGHT = 0.2
    }
}
