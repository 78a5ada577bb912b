package org.verbenagauge.entry.admission

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.EndpointAnswer
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.placement.EndpointAddress
import org.verbenagauge.entry.placement.EndpointClient
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.state.document.AvailabilityBudget
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Pool
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.document.TeamKey
import kotlin.random.Random

/** Behaviour of a simulated endpoint until the next injected fault. */
internal enum class Behaviour {
    HEALTHY,
    REFUSING,
    LOSING,
    LOSING_BEFORE_RUN,
    SILENT,
    FAILING_FAST,
    DRAINING,
}

internal const val POOL = "pool"

internal fun keyOf(teamId: String) = "key-of-$teamId"

/** A randomly generated fleet and configuration. */
internal class FuzzFleet(
    random: Random,
) {
    val slots = random.nextInt(1, 4)
    val instanceIds = List(random.nextInt(1, 6)) { "worker-$it" }
    val teams =
        List(random.nextInt(1, 5)) {
            val id = "team-$it"
            Team(id, listOf(TeamKey("k", sha256Hex(keyOf(id)))), random.nextInt(1, 5), maxRunning = random.nextInt(7))
        }
    val queues =
        List(random.nextInt(1, 5)) {
            Queue(
                id = "queue-$it",
                poolId = POOL,
                queueClass = QueueClass.entries[random.nextInt(3)],
                idempotent = random.nextBoolean(),
                maxQueued = random.nextInt(1, 12),
                maxWaitMillis = random.nextLong(20, 2_000),
                maxRunMillis = random.nextLong(50, 400),
                finishByMinuteOfDay = random.nextInt(24 * 60).takeIf { random.nextInt(3) == 0 },
            )
        }
    val configuration =
        Configuration(
            pools = listOf(Pool(POOL, "service", AvailabilityBudget(random.nextInt(3)), slotsPerWorker = slots)),
            teams = teams,
            queues = queues,
        )

    fun views(leaving: Set<String>) =
        mapOf(POOL to instanceIds.map { EndpointView(EndpointAddress(it, "127.0.0.1", 1), it !in leaving) })
}

/**
 * Simulated endpoints that satisfy the requirement on real ones: a request that was read before its connection was
 * closed runs no longer than its maximum run time. They count the actual runs and record exceeded limits.
 */
internal class FuzzEndpoints(
    private val fleet: FuzzFleet,
    private val random: Random,
    private val scope: CoroutineScope,
) : EndpointClient {
    val behaviours = fleet.instanceIds.associateWithTo(HashMap()) { Behaviour.HEALTHY }
    val runsByRequest = HashMap<String, Int>()
    val violations = ArrayList<String>()
    private val runningByTeam = HashMap<String, Int>()
    private val runningByInstance = HashMap<String, Int>()

    override suspend fun send(
        job: Job,
        address: EndpointAddress,
        idempotent: Boolean,
        maxRunMillis: Long,
    ): JobAnswer {
        val behaviour = behaviours.getValue(address.instanceId)
        delay(random.nextLong(3))
        val runMillis = random.nextLong(1, maxRunMillis)
        return when (behaviour) {
            Behaviour.REFUSING -> JobAnswer(Reason.CONNECT_FAILED)
            Behaviour.DRAINING -> JobAnswer(Reason.ENDPOINT_DRAINING)
            Behaviour.LOSING_BEFORE_RUN -> JobAnswer(Reason.CONNECTION_LOST)
            Behaviour.HEALTHY -> run(job, address, runMillis).let { answer(job, OK) }
            Behaviour.FAILING_FAST -> run(job, address, 1).let { answer(job, FAILED) }
            Behaviour.LOSING -> {
                // The caller can detect the lost connection before the run has started.
                val lossMillis = random.nextLong(maxRunMillis)
                val runStartMillis = random.nextLong(lossMillis + 1)
                delay(runStartMillis)
                scope.launch { run(job, address, maxRunMillis - 1) }
                delay(lossMillis - runStartMillis)
                JobAnswer(Reason.CONNECTION_LOST)
            }
            Behaviour.SILENT -> {
                val runStartMillis = random.nextLong(maxRunMillis)
                delay(runStartMillis)
                scope.launch { run(job, address, maxRunMillis - 1) }
                delay(maxRunMillis - runStartMillis)
                JobAnswer(Reason.ANSWER_TIMEOUT)
            }
        }
    }

    private suspend fun run(
        job: Job,
        address: EndpointAddress,
        runMillis: Long,
    ) {
        val teamId = job.authorization!!.substringAfter("key-of-")
        runsByRequest.merge(job.requestId, 1, Int::plus)
        val ofTeam = runningByTeam.merge(teamId, 1, Int::plus)!!
        val ofInstance = runningByInstance.merge(address.instanceId, 1, Int::plus)!!
        val limit = fleet.teams.first { it.id == teamId }.maxRunning
        if (ofTeam > limit) violations += "team '$teamId' runs $ofTeam, limit $limit"
        if (ofInstance > fleet.slots) violations += "'${address.instanceId}' runs $ofInstance, slots ${fleet.slots}"
        delay(runMillis)
        runningByTeam.merge(teamId, -1, Int::plus)
        runningByInstance.merge(address.instanceId, -1, Int::plus)
    }

    private fun answer(
        job: Job,
        status: Int,
    ) = JobAnswer(Reason.SERVED, EndpointAnswer(status, null, job.body))

    private companion object {
        const val OK = 200
        const val FAILED = 500
    }
}
