package org.verbenagauge.entry.admission

import org.verbenagauge.entry.placement.Placement
import org.verbenagauge.entry.placement.PlacementNeed

private const val PROMOTION_LEAD_MILLIS = 900_000L

/** State of a waiting or running request and its attempts. */
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

    /** Slot that the request runs on, or null while it waits. */
    var placement: Placement? = null
    var startedAtMillis = 0L

    /** Run time that the team has been charged for the current attempt so far. */
    var chargedMillis = 0.0
    var attempts = 0
    var cancelled = false

    /** Whether an attempt ran or may have run, in which case the request must not be refused as not run. */
    var mayHaveRun = false

    private val triedInstanceIds = HashSet<String>()
    private var avoidUntilMillis = 0L

    /**
     * Avoids [instanceId], which was tried. Until [avoidUntilMillis] the request waits for an instance that was not
     * tried, if the pool has one; afterwards it may run on any.
     */
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
