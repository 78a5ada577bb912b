package org.verbenagauge.entry.admission

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.JobHandler
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.account.JobObserver
import org.verbenagauge.entry.account.JobRecord
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.placement.EndpointClient
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.rights.Rights
import org.verbenagauge.entry.state.Configuration
import org.verbenagauge.entry.state.Freshness
import org.verbenagauge.entry.state.Queue
import org.verbenagauge.entry.state.Team
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** Team that requests without a key count for, on queues that are open to all. */
public const val OPEN_TEAM_ID: String = "open"

private const val RETRY_AFTER_MILLIS = 1_000L

/**
 * Takes jobs: checks key, queue and deadline, waits for the start, sends to the endpoint.
 *
 * @param maxJobs requests that the entry holds at once.
 * @param maxQueuedPerPool requests that wait at once for one pool.
 */
public class JobService(
    private val clock: Clock,
    private val endpointClient: EndpointClient,
    private val rights: Rights,
    private val freshness: Freshness,
    private val observer: JobObserver,
    private val maxJobs: Int,
    private val maxQueuedPerPool: Int,
) : JobHandler {
    private val ids = AtomicLong()
    private val held = AtomicInteger()
    private val pools = ConcurrentHashMap<String, PoolLane>()

    @Volatile private var snapshot = Snapshot(Configuration())

    @Volatile private var stopping = false

    /** Requests that are waiting or running. */
    public val heldCount: Int get() = held.get()

    /** Puts a new configuration and view of the endpoints in force. */
    public fun update(
        configuration: Configuration,
        endpointsByPool: Map<String, List<EndpointView>>,
    ) {
        snapshot = Snapshot(configuration)
        configuration.pools.forEach { lane(it.id).update(endpointsByPool[it.id].orEmpty()) }
    }

    /** Refuses new requests from now on; requests that are held go on. */
    public fun stopAccepting() {
        stopping = true
    }

    /** Refuses requests whose time to start has passed. */
    public fun tick() {
        pools.values.forEach { it.tick() }
    }

    override suspend fun handle(job: Job): JobAnswer {
        val progress = Progress(clock)
        val answer = hold(job, progress)
        observer.answered(progress.record(job, answer))
        return answer
    }

    private suspend fun hold(
        job: Job,
        progress: Progress,
    ): JobAnswer {
        if (stopping) return refusal(Reason.ENTRY_STOPPING)
        if (held.incrementAndGet() > maxJobs) {
            held.decrementAndGet()
            return refusal(Reason.ENTRY_FULL)
        }
        return try {
            admit(job, progress)
        } finally {
            held.decrementAndGet()
        }
    }

    private suspend fun admit(
        job: Job,
        progress: Progress,
    ): JobAnswer {
        if (!freshness.isFresh()) return refusal(Reason.ENTRY_STALE)
        val view = snapshot
        val queue =
            view.queuesById[job.queueId]
                ?: return JobAnswer(Reason.UNKNOWN_QUEUE, detail = "queue '${job.queueId}'")
        val team =
            when (val outcome = teamOf(job, queue, view)) {
                is KeyOutcome.Refused -> return JobAnswer(outcome.reason, detail = "queue '${queue.id}'")
                is KeyOutcome.Known -> outcome.team
            }
        progress.teamId = team.id
        return run(job, queue, team, progress)
    }

    private fun teamOf(
        job: Job,
        queue: Queue,
        view: Snapshot,
    ): KeyOutcome {
        if (queue.openToAll && job.authorization == null) return KeyOutcome.Known(openTeam)
        val outcome = view.keyRing.check(job.authorization)
        if (outcome !is KeyOutcome.Known) return outcome
        val allowed = queue.openToAll || queue.teamIds.isEmpty() || outcome.team.id in queue.teamIds
        return if (allowed) outcome else KeyOutcome.Refused(Reason.QUEUE_FORBIDDEN)
    }

    private suspend fun run(
        job: Job,
        queue: Queue,
        team: Team,
        progress: Progress,
    ): JobAnswer {
        val lane = lane(queue.poolId)
        val id = ids.incrementAndGet()
        val waitMillis = minOf(queue.maxWaitMillis, job.deadlineMillis ?: Long.MAX_VALUE)
        val decision = lane.submit(id, team, queue, clock.monotonicMillis() + waitMillis)
        return when (val action = awaitDecision(lane, id, decision)) {
            is DispatchAction.Refuse -> refusal(action.reason)
            is DispatchAction.Start -> {
                progress.started(action.address.instanceId)
                send(job, queue, lane, action)
            }
        }
    }

    private suspend fun awaitDecision(
        lane: PoolLane,
        id: Long,
        decision: CompletableDeferred<DispatchAction>,
    ): DispatchAction =
        try {
            decision.await()
        } catch (e: CancellationException) {
            lane.abandon(id)
            throw e
        }

    // A request that was sent runs to its end, so that its slot and its right are held as long as it may run.
    private suspend fun send(
        job: Job,
        queue: Queue,
        lane: PoolLane,
        start: DispatchAction.Start,
    ): JobAnswer =
        withContext(NonCancellable) {
            try {
                endpointClient.send(job, start.address, queue.idempotent, queue.maxRunMillis)
            } finally {
                lane.finish(start.id)
            }
        }

    private fun refusal(reason: Reason) = JobAnswer(reason, retryAfterMillis = RETRY_AFTER_MILLIS)

    private fun lane(poolId: String) = pools.getOrPut(poolId) { PoolLane() }

    private class Progress(
        private val clock: Clock,
    ) {
        var teamId: String? = null
        private val arrivedAtMillis = clock.monotonicMillis()
        private val arrivedAtWallMillis = clock.wallMillis()
        private var startedAtMillis: Long? = null
        private var instanceId: String? = null

        fun started(instanceId: String) {
            startedAtMillis = clock.monotonicMillis()
            this.instanceId = instanceId
        }

        fun record(
            job: Job,
            answer: JobAnswer,
        ): JobRecord {
            val nowMillis = clock.monotonicMillis()
            val waitedUntilMillis = startedAtMillis ?: nowMillis
            return JobRecord(
                requestId = job.requestId,
                teamId = teamId,
                queueId = job.queueId,
                idempotencyKey = job.idempotencyKey,
                instanceId = instanceId,
                reason = answer.reason,
                arrivedAtWallMillis = arrivedAtWallMillis,
                waitedMillis = waitedUntilMillis - arrivedAtMillis,
                ranMillis = nowMillis - waitedUntilMillis,
            )
        }
    }

    private class Snapshot(
        configuration: Configuration,
    ) {
        val queuesById = configuration.queues.associateBy { it.id }
        val keyRing = KeyRing(configuration)
    }

    private inner class PoolLane {
        private val lock = ReentrantLock()
        private val dispatcher = Dispatcher(rights, maxQueuedPerPool)
        private val decisions = HashMap<Long, CompletableDeferred<DispatchAction>>()

        fun submit(
            id: Long,
            team: Team,
            queue: Queue,
            startByMillis: Long,
        ): CompletableDeferred<DispatchAction> {
            val decision = CompletableDeferred<DispatchAction>()
            handle {
                decisions[id] = decision
                submit(id, team, queue, startByMillis, clock.monotonicMillis())
            }
            return decision
        }

        fun abandon(id: Long) {
            val decided = lock.withLock { if (dispatcher.cancel(id)) decisions.remove(id) else null }
            if (decided == null) finish(id)
        }

        fun finish(id: Long) = handle { finish(id, clock.monotonicMillis()) }

        fun update(views: List<EndpointView>) = handle { update(views, clock.monotonicMillis()) }

        fun tick() = handle { tick(clock.monotonicMillis()) }

        private fun handle(event: Dispatcher.() -> List<DispatchAction>) {
            val decided =
                lock.withLock {
                    dispatcher.event().mapNotNull { action -> decisions.remove(action.id)?.let { Decided(it, action) } }
                }
            decided.forEach { it.decision.complete(it.action) }
        }
    }

    private class Decided(
        val decision: CompletableDeferred<DispatchAction>,
        val action: DispatchAction,
    )

    private companion object {
        val openTeam = Team(OPEN_TEAM_ID, maxRunning = Int.MAX_VALUE)
    }
}
