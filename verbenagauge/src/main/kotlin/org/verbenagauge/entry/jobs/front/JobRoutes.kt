package org.verbenagauge.entry.jobs.front

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.io.readByteArray
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.caller.CallerHeaders
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.specificationProblem
import java.util.UUID

private const val DEFAULT_WAIT_MILLIS = 3_000L
private const val DEFAULT_BODY_BYTES = 262_144L
private const val MILLIS_PER_SECOND = 1_000L
private const val BEARER = "Bearer "

// Without dots, because a dot separates the parts of a task id.
private val jobIdPattern = Regex("[A-Za-z0-9_-]{1,64}")
private val jobJson = Json { ignoreUnknownKeys = false }

/**
 * Body of the answer to a call about a job or a queue.
 *
 * @property state state of the job, in lower case; null when the answer reports no state.
 * @property pending accepted jobs of the queue without a started task; null for calls about one job and when it is not
 * known.
 * @property detail what is wrong and how to correct it, or null.
 */
@Serializable
public data class JobCallAnswer(
    val state: String? = null,
    val pending: Int? = null,
    val detail: String? = null,
)

/** Installs the native HTTP interface for jobs. Every answer carries a verdict, a reason and a request id. */
public fun Application.jobRoutes(
    calls: JobCalls,
    dispatcher: CoroutineDispatcher,
) {
    val handler = JobCallHandler(calls)
    routing {
        route("/v1/jobs/{queue}") {
            get { call.answer(dispatcher, handler::pending) }
            route("{id}") { jobMethods(handler, dispatcher) }
        }
    }
}

private fun Route.jobMethods(
    handler: JobCallHandler,
    dispatcher: CoroutineDispatcher,
) {
    put {
        val body = call.receiveChannel().readRemaining(handler.maxBodyBytes() + 1).readByteArray()
        call.answer(dispatcher) { handler.submit(it, body) }
    }
    get { call.answer(dispatcher, handler::lookup) }
    delete { call.answer(dispatcher, handler::cancel) }
}

/** Parameters of a call about a job or a queue, as read from the request. */
internal class JobCall(
    val queueName: String,
    val jobId: String,
    val key: String?,
    val waitMillis: Long,
)

/** Reason, body and retry delay of the answer to a call. */
internal class JobReply(
    val reason: Reason,
    val answer: JobCallAnswer = JobCallAnswer(),
    val retryAfterMillis: Long? = null,
)

private suspend fun ApplicationCall.answer(
    dispatcher: CoroutineDispatcher,
    handle: suspend (JobCall) -> JobReply,
) {
    val rawWait = request.header(CallerHeaders.DEADLINE_MILLIS)
    val waitMillis = if (rawWait == null) DEFAULT_WAIT_MILLIS else rawWait.toLongOrNull()?.takeIf { it > 0 }
    val reply =
        if (waitMillis == null) {
            JobReply(Reason.DEADLINE_MALFORMED)
        } else {
            val key = request.header(HttpHeaders.Authorization)?.removePrefix(BEARER)
            val call = JobCall(parameters["queue"].orEmpty(), parameters["id"].orEmpty(), key, waitMillis)
            withContext(dispatcher) { handle(call) }
        }
    respond(reply)
}

private suspend fun ApplicationCall.respond(reply: JobReply) {
    response.header(CallerHeaders.VERDICT, reply.reason.verdict.headerValue)
    response.header(CallerHeaders.REASON, reply.reason.code)
    response.header(CallerHeaders.REQUEST_ID, UUID.randomUUID().toString())
    reply.retryAfterMillis?.let { response.header(HttpHeaders.RetryAfter, ceilSeconds(it)) }
    val isOk = reply.reason.httpStatus == HttpStatusCode.OK.value
    val answer = if (isOk || reply.answer.detail != null) reply.answer else JobCallAnswer(detail = reply.reason.text)
    val text = jobJson.encodeToString(JobCallAnswer.serializer(), answer)
    respondText(text, ContentType.Application.Json, HttpStatusCode.fromValue(reply.reason.httpStatus))
}

private fun ceilSeconds(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND

/** Handles calls of the native interface. */
internal class JobCallHandler(
    private val calls: JobCalls,
) {
    /** Returns the size of the largest accepted body, in bytes. */
    fun maxBodyBytes(): Long = calls.configuration?.maxBodyBytes ?: DEFAULT_BODY_BYTES

    /** Answers with the number of pending jobs of the queue. */
    suspend fun pending(call: JobCall): JobReply =
        withAccess(call) { admitted ->
            calls.pending(admitted)?.let { JobReply(Reason.JOB_TOLD, JobCallAnswer(pending = it)) }
                ?: JobReply(Reason.COUNT_UNKNOWN, retryAfterMillis = MILLIS_PER_SECOND)
        }

    /** Submits the job that [body] specifies. */
    suspend fun submit(
        call: JobCall,
        body: ByteArray,
    ): JobReply =
        withJobAccess(call) { admitted ->
            if (body.size > maxBodyBytes()) return@withJobAccess JobReply(Reason.BODY_TOO_LARGE)
            when (val parsed = parse(body)) {
                is ParsedJob.Problem -> JobReply(Reason.JOB_MALFORMED, JobCallAnswer(detail = parsed.text))
                is ParsedJob.Valid -> submitReply(calls.submit(admitted, parsed.specification, call.waitMillis))
            }
        }

    /** Answers with the state of a job. */
    suspend fun lookup(call: JobCall): JobReply =
        withJobAccess(call) { admitted ->
            when (val outcome = calls.lookup(admitted, call.waitMillis)) {
                is JobLookup.Found -> JobReply(Reason.JOB_TOLD, JobCallAnswer(outcome.state.name.lowercase()))
                is JobLookup.Unknown -> JobReply(Reason.JOB_UNKNOWN)
                is JobLookup.Unavailable -> JobReply(Reason.STORE_SILENT, retryAfterMillis = MILLIS_PER_SECOND)
            }
        }

    /** Cancels a job. */
    suspend fun cancel(call: JobCall): JobReply =
        withJobAccess(call) { admitted ->
            when (calls.cancel(admitted, call.waitMillis)) {
                is CancelOutcome.Cancelled -> JobReply(Reason.JOB_CANCELLED)
                is CancelOutcome.Unknown -> JobReply(Reason.JOB_UNKNOWN)
                is CancelOutcome.Unsettled -> JobReply(Reason.JOB_MAY_BE_STORED)
            }
        }

    private fun submitReply(outcome: SubmitOutcome): JobReply =
        when (outcome) {
            is SubmitOutcome.Accepted -> JobReply(Reason.JOB_ACCEPTED)
            is SubmitOutcome.Refused ->
                JobReply(Reason.JOB_NOT_STORED, retryAfterMillis = outcome.retryAfterMillis)
            is SubmitOutcome.TurnedAway ->
                JobReply(Reason.JOB_TOO_LATE, retryAfterMillis = outcome.refusal.retryAfterMillis)
            is SubmitOutcome.Unsettled -> JobReply(Reason.JOB_MAY_BE_STORED)
        }

    private suspend fun withJobAccess(
        call: JobCall,
        handle: suspend (Admittance.Granted) -> JobReply,
    ): JobReply = if (jobIdPattern.matches(call.jobId)) withAccess(call, handle) else JobReply(Reason.JOB_ID_MALFORMED)

    private suspend fun withAccess(
        call: JobCall,
        handle: suspend (Admittance.Granted) -> JobReply,
    ): JobReply =
        when (val access = calls.authorize(call.queueName, call.jobId, call.key)) {
            is Admittance.NotReady -> JobReply(Reason.ENTRY_STALE, retryAfterMillis = MILLIS_PER_SECOND)
            is Admittance.NoQueue -> JobReply(Reason.UNKNOWN_QUEUE)
            is Admittance.KeyUnknown -> JobReply(if (call.key == null) Reason.KEY_MISSING else Reason.KEY_UNKNOWN)
            is Admittance.Granted -> handle(access)
        }

    private sealed interface ParsedJob {
        class Valid(
            val specification: JobSpecification,
        ) : ParsedJob

        class Problem(
            val text: String,
        ) : ParsedJob
    }

    private fun parse(body: ByteArray): ParsedJob =
        try {
            val specification = jobJson.decodeFromString(JobSpecification.serializer(), body.decodeToString())
            val problem = specificationProblem(specification)
            if (problem == null) ParsedJob.Valid(specification) else ParsedJob.Problem(problem)
        } catch (e: SerializationException) {
            ParsedJob.Problem(
                e.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            )
        }
}
