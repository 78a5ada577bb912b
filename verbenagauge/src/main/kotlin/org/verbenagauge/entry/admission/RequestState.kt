package org.verbenagauge.entry.admission

import org.verbenagauge.entry.placement.Placement
import org.verbenagauge.entry.placement.PlacementNeed

private const val PROMOTION_LEAD_MILLIS = 900_000L

/** A request that waits or runs, with its attempts. */
internal class RequestState(
    val request: JobRequest,
    expectedRunMillis: Double,
) {
    val waiting =
        WaitingRequest(
            id = request.id,
            teamId = request.team.id,
            queueId = request.queue.id,
            queueClass = request.queue.queueClass,
            startByMillis = request.startByMillis,
            promoteAtMillis = request.finishByMillis?.let { it - PROMOTION_LEAD_MILLIS - expectedRunMillis.toLong() },
            expectedRunMillis = expectedRunMillis,
        )

    /** Slot that it runs on, or null while it waits. */
    var placement: Placement? = null
    var startedAtMillis = 0L

    /** Run time that the team was charged for so far. */
    var chargedMillis = 0.0
    var attempts = 0
    var cancelled = false

    /** Whether an attempt may have run, so that the answer must not be a refusal. */
    var mayHaveRun = false

    private val triedInstanceIds = HashSet<String>()
    private var avoidUntilMillis = 0L

    /** Avoids [instanceId], which was tried; up to [avoidUntilMillis] at the price of a longer wait. */
    fun avoidInstance(
        instanceId: String,
        avoidUntilMillis: Long,
    ) {
        triedInstanceIds += instanceId
        this.avoidUntilMillis = avoidUntilMillis
    }

    fun placementNeed(nowMillis: Long): PlacementNeed =
        PlacementNeed(
            idempotent = request.queue.idempotent,
            triedInstanceIds = triedInstanceIds,
            mayRepeat = nowMillis >= avoidUntilMillis,
        )
}
