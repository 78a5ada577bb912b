package org.verbenagauge.entry.admission

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.JobHandler
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.account.JobObserver
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.idempotency.Claim
import org.verbenagauge.entry.idempotency.ClaimOutcome
import org.verbenagauge.entry.idempotency.JobClaims
import org.verbenagauge.entry.placement.EndpointClient
import org.verbenagauge.entry.placement.EndpointView
import org.verbenagauge.entry.placement.PlacementNotice
import org.verbenagauge.entry.rights.FleetService
import org.verbenagauge.entry.rights.Rights
import org.verbenagauge.entry.rights.noFleetService
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Queue
import org.verbenagauge.entry.state.document.QueueClass
import org.verbenagauge.entry.state.document.Team
import org.verbenagauge.entry.state.force.Freshness
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/** Team that is charged for requests without a key on queues that are open to all. */
public const val OPEN_TEAM_ID: String = "open"

private const val RETRY_AFTER_MILLIS = 1_000L

/**
 * Handles jobs: checks key, queue and deadline, waits until the job may start, and sends it to an endpoint.
 *
 * @param maxJobs maximum number of requests that wait or run in this entry.
 * @param maxQueuedPerPool maximum number of requests that wait for one pool.
 * @param fleetService requests that other entries have started.
 * @param claims ensures that at most one request with the same idempotency key runs; null to run all of them.
 * @param notify receives the notices about endpoints for operators.
 */
public class JobService(
    private val clock: Clock,
    private val endpointClient: EndpointClient,
    private val rights: Rights,
    private val freshness: Freshness,
    private val observer: JobObserver,
    private val maxJobs: Int,
    private val maxQueuedPerPool: Int,
    private val fleetService: FleetService = noFleetService,
    private val claims: JobClaims? = null,
    private val notify: (PlacementNotice) -> Unit = {},
) : JobHandler {
    private val ids = AtomicLong()
    private val held = AtomicInteger()
    private val dispatchers = ConcurrentHashMap<String, SynchronizedDispatcher>()

    @Volatile private var snapshot = Snapshot(Configuration())

    @Volatile private var stopping = false

    init {
        rights.onGained { tick() }
    }

    /** Number of requests that are waiting or running. */
    public val heldCount: Int get() = held.get()

    /** Number of waiting requests. */
    public val queuedCount: Int get() = dispatchers.values.sumOf { it.queued }

    /** Number of requests of queues of [queueClass] that wait for [poolId]. */
    public fun waitingCount(
        poolId: String,
        queueClass: QueueClass,
    ): Int = dispatchers[poolId]?.waitingCount(queueClass) ?: 0

    /** Applies a new configuration and a new view of the endpoints. */
    public fun update(
        configuration: Configuration,
        endpointsByPool: Map<String, List<EndpointView>>,
    ) {
        snapshot = Snapshot(configuration)
        configuration.pools.forEach { dispatcher(it.id).update(endpointsByPool[it.id].orEmpty(), it.budget.maxAway) }
        val poolIds = configuration.pools.map { it.id }.toSet()
        dispatchers.filterKeys { it !in poolIds }.values.forEach { it.update(emptyList(), maxAway = 0) }
    }

    /**
     * Refuses new requests from now on. Running requests continue. A waiting request starts only if its maximum run
     * time ends by [stopByMillis] on the monotonic clock; otherwise it is refused as not-run when its turn comes.
     */
    public fun stopAccepting(stopByMillis: Long) {
        stopping = true
        dispatchers.values.forEach { it.stop(stopByMillis) }
    }

    /** Refuses requests whose start deadline has passed, and starts those that may start. */
    public fun tick() {
        dispatchers.values.forEach { it.tick() }
    }

    @Suppress("TooGenericExceptionCaught")
    override suspend fun handle(job: Job): JobAnswer {
        val progress = JobProgress(clock)
        val answer =
            try {
                countAndAdmit(job, progress)
            } catch (e: CancellationException) {
                val record = progress.cancelledRecord(job)
                withContext(NonCancellable) { observer.answered(record) }
                throw e
            } catch (e: Exception) {
                JobAnswer(Reason.INTERNAL_ERROR, detail = "$e")
            }
        withContext(NonCancellable) { observer.answered(progress.record(job, answer.reason)) }
        return answer
    }

    private suspend fun countAndAdmit(
        job: Job,
        progress: JobProgress,
    ): JobAnswer =
        try {
            // Counted before the check of stopping: once a stop sees a count of 0, no further request is admitted.
            val count = held.incrementAndGet()
            when {
                stopping -> refusal(Reason.ENTRY_STOPPING)
                count > maxJobs -> refusal(Reason.ENTRY_FULL)
                else -> admit(job, progress)
            }
        } finally {
            held.decrementAndGet()
        }

    private suspend fun admit(
        job: Job,
        progress: JobProgress,
    ): JobAnswer =
        when (val check = check(job)) {
            is Check.Failed -> check.answer
            is Check.Passed -> {
                progress.teamId = check.team.id
                runOnce(job, check, progress)
            }
        }

    private suspend fun runOnce(
        job: Job,
        check: Check.Passed,
        progress: JobProgress,
    ): JobAnswer {
        val idempotencyKey = job.idempotencyKey
        if (claims == null || idempotencyKey == null || check.queue.idempotent) return run(job, check, progress)
        return when (val outcome = claims.claim(job, check.team.id, idempotencyKey)) {
            is ClaimOutcome.Answered -> outcome.answer
            is ClaimOutcome.Granted -> runClaimed(job, check, progress, claims, outcome.claim)
        }
    }

    // The claim is kept unless it is known that the request did not run.
    private suspend fun runClaimed(
        job: Job,
        check: Check.Passed,
        progress: JobProgress,
        claims: JobClaims,
        claim: Claim,
    ): JobAnswer {
        var answer = JobAnswer(Reason.INTERNAL_ERROR)
        try {
            answer = run(job, check, progress)
            return answer
        } catch (e: CancellationException) {
            answer = JobAnswer(progress.cancelledRecord(job).reason)
            throw e
        } finally {
            claims.settle(claim, answer)
        }
    }

    // Repeated before each attempt, so that a request whose key was withdrawn while it waited does not run.
    private fun check(job: Job): Check {
        if (!freshness.isFresh()) return Check.Failed(refusal(Reason.ENTRY_STALE))
        val view = snapshot
        val queue =
            view.queuesById[job.queueId]
                ?: return Check.Failed(JobAnswer(Reason.UNKNOWN_QUEUE, detail = "queue '${job.queueId}'"))
        return when (val outcome = teamOf(job, queue, view)) {
            is KeyOutcome.Refused -> Check.Failed(JobAnswer(outcome.reason, detail = "queue '${queue.id}'"))
            is KeyOutcome.Known -> Check.Passed(queue, outcome.team)
        }
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
        check: Check.Passed,
        progress: JobProgress,
    ): JobAnswer {
        val dispatcher = dispatcher(check.queue.poolId)
        val request = request(job, check)
        var decision = dispatcher.submit(request)
        var answer: JobAnswer? = null
        while (true) {
            when (val action = awaitDecision(dispatcher, request.id, decision)) {
                is DispatchAction.Refuse -> return JobAnswer(action.reason, retryAfterMillis = action.retryAfterMillis)
                is DispatchAction.Deliver -> return answer ?: JobAnswer(Reason.INTERNAL_ERROR)
                is DispatchAction.Start -> {
                    val attempt = attempt(job, check.queue, dispatcher, action, progress)
                    answer = answerToKeep(answer, attempt.answer)
                    decision = attempt.next
                }
            }
        }
    }

    // The answer of an attempt that did not run must not replace that of an earlier one that ran or may have run.
    private fun answerToKeep(
        earlier: JobAnswer?,
        answer: JobAnswer,
    ): JobAnswer {
        val keepsEarlier = answer.verdict == Verdict.NOT_RUN && earlier != null && earlier.verdict != Verdict.NOT_RUN
        return if (keepsEarlier) earlier else answer
    }

    private fun request(
        job: Job,
        check: Check.Passed,
    ): JobRequest {
        val nowMillis = clock.monotonicMillis()
        val queue = check.queue
        val waitMillis = minOf(queue.maxWaitMillis, job.deadlineMillis ?: Long.MAX_VALUE)
        return JobRequest(
            id = ids.incrementAndGet(),
            team = check.team,
            queue = queue,
            startByMillis = nowMillis + waitMillis,
            finishByMillis = queue.finishByMinuteOfDay?.let { nowMillis + millisUntil(it, clock.wallMillis()) },
            jobKey = lazy { jobKey(job) },
        )
    }

    private suspend fun awaitDecision(
        dispatcher: SynchronizedDispatcher,
        id: Long,
        decision: CompletableDeferred<DispatchAction>,
    ): DispatchAction =
        try {
            decision.await()
        } catch (e: CancellationException) {
            dispatcher.abandon(id)
            throw e
        }

    // A request that was sent is not cancelled, so that its slot and its right stay taken for as long as it may run.
    private suspend fun attempt(
        job: Job,
        queue: Queue,
        dispatcher: SynchronizedDispatcher,
        start: DispatchAction.Start,
        progress: JobProgress,
    ): Attempt =
        withContext(NonCancellable) {
            var answer = JobAnswer(Reason.INTERNAL_ERROR)
            var next: CompletableDeferred<DispatchAction>? = null
            try {
                answer = (check(job) as? Check.Failed)?.answer ?: send(job, queue, start, progress)
            } finally {
                progress.attemptEnded(answer.reason)
                next = dispatcher.attemptEnded(attemptEnd(start.id, answer))
            }
            Attempt(answer, next)
        }

    private suspend fun send(
        job: Job,
        queue: Queue,
        start: DispatchAction.Start,
        progress: JobProgress,
    ): JobAnswer {
        progress.attemptStarted(start.address.instanceId)
        return endpointClient.send(job, start.address, queue.idempotent, queue.maxRunMillis)
    }

    private fun attemptEnd(
        id: Long,
        answer: JobAnswer,
    ): AttemptEnd {
        val failed = answer.endpointAnswer?.let { it.status >= MIN_SERVER_ERROR_STATUS } ?: false
        return AttemptEnd(id, answer.reason, failedOnEndpoint = failed)
    }

    private fun refusal(reason: Reason) = JobAnswer(reason, retryAfterMillis = RETRY_AFTER_MILLIS)

    private fun dispatcher(poolId: String) =
        dispatchers.computeIfAbsent(poolId) {
            val seed = it.hashCode() + clock.wallMillis()
            SynchronizedDispatcher(
                Dispatcher(it, rights, maxQueuedPerPool, fleetService, seed),
                it,
                rights,
                clock,
                notify,
            )
        }

    private sealed interface Check {
        class Passed(
            val queue: Queue,
            val team: Team,
        ) : Check

        class Failed(
            val answer: JobAnswer,
        ) : Check
    }

    private class Attempt(
        val answer: JobAnswer,
        val next: CompletableDeferred<DispatchAction>,
    )

    private class Snapshot(
        configuration: Configuration,
    ) {
        val queuesById = configuration.queues.associateBy { it.id }
        val keyRing = KeyRing(configuration)
    }

    private companion object {
        const val MIN_SERVER_ERROR_STATUS = 500
        val openTeam = Team(OPEN_TEAM_ID, maxRunning = Int.MAX_VALUE)
    }
}
