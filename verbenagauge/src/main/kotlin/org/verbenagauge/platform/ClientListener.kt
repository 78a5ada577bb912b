package org.verbenagauge.platform

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.io.readByteArray
import org.verbenagauge.entry.jobs.front.Admittance
import org.verbenagauge.entry.jobs.front.CallContext
import org.verbenagauge.entry.jobs.front.CancelOutcome
import org.verbenagauge.entry.jobs.front.JobCalls
import org.verbenagauge.entry.jobs.front.JobLookup
import org.verbenagauge.entry.jobs.front.SubmitOutcome
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.model.boundsProblem

private const val KEY_HEADER = "X-Verbenagauge-Credential"
private const val WAIT_HEADER = "X-Verbenagauge-Deadline-Ms"
private const val DEFAULT_WAIT_MILLIS = 3_000L
private const val DEFAULT_BODY_BYTES = 262_144L
private const val MILLIS_PER_SECOND = 1_000L
private const val ID_PROBLEM = "the path: write the id as 1 to 64 letters, digits, '-' and '_'"
private const val BODY_PROBLEM = "the body: write a job as JSON in UTF-8, each of its Steps with a Count of at least 1"
private const val LENGTH_PROBLEM = "the body: its length is not that of Content-Length"

// Without dots: a worker that lists the tasks of an id with dots has a listing that nobody can read.
private val jobIdPattern = Regex("[A-Za-z0-9_-]{1,64}")

private val wireNameByField =
    mapOf(
        "amount" to "Cpu, MemMb, Gpu",
        "estimatedMillis" to "EstimatedMs",
        "latencyTargetMillis" to "TargetMs",
        "dependsOn" to "Dependencies",
        "maxPerWorker" to "AntiAffinity",
        "mayMiss" to "MissAllowed",
        "repetitions" to "Repetitions",
        "firstRunUnixMillis" to "FirstRunMs",
        "intervalMillis" to "IntervalMs",
        "steps" to "Steps",
    )
private val fieldPattern = Regex(wireNameByField.keys.joinToString("|", "\\b(?:", ")\\b"))

/** Answers clients of the platform in their own form. */
internal fun Application.clientRoutes(
    calls: JobCalls,
    dispatcher: CoroutineDispatcher,
) {
    intercept(ApplicationCallPipeline.Call) {
        val body = if (call.request.httpMethod == HttpMethod.Post) call.body(calls) else null
        val answer = withContext(dispatcher) { answer(call, calls, body) }
        answer.retryAfterMillis?.let { call.response.header(HttpHeaders.RetryAfter, secondsUp(it)) }
        call.respondText(answer.text, ContentType.Application.Json, answer.status)
    }
}

private class ClientAnswer(
    val status: HttpStatusCode,
    val text: String = "",
    val retryAfterMillis: Long? = null,
)

private suspend fun ApplicationCall.body(calls: JobCalls): ByteArray {
    val most = calls.configuration?.maxBodyBytes ?: DEFAULT_BODY_BYTES
    return receiveChannel().readRemaining(most + 1).readByteArray()
}

private suspend fun answer(
    call: ApplicationCall,
    calls: JobCalls,
    body: ByteArray?,
): ClientAnswer {
    val waitMillis = call.request.header(WAIT_HEADER)?.toLongOrNull() ?: DEFAULT_WAIT_MILLIS
    val host =
        call.request
            .header(HttpHeaders.Host)
            .orEmpty()
            .substringBefore(':')
    val context = CallContext(host, call.request.path(), call.request.header(KEY_HEADER), waitMillis)
    return when (val admittance = calls.authorize(context)) {
        is Admittance.NotReady ->
            ClientAnswer(HttpStatusCode.ServiceUnavailable, retryAfterMillis = MILLIS_PER_SECOND)
        is Admittance.NoQueue -> ClientAnswer(HttpStatusCode.NotFound)
        is Admittance.KeyUnknown -> ClientAnswer(HttpStatusCode.Unauthorized)
        is Admittance.Granted ->
            when {
                admittance.jobId.isEmpty() -> queueAnswer(call, calls, admittance)
                !jobIdPattern.matches(admittance.jobId) -> idAnswer(call)
                call.request.httpMethod == HttpMethod.Post -> submit(call, calls, admittance, body, waitMillis)
                call.request.httpMethod == HttpMethod.Get -> lookup(calls, admittance, waitMillis)
                call.request.httpMethod == HttpMethod.Delete -> cancel(calls, admittance, waitMillis)
                else -> ClientAnswer(HttpStatusCode.MethodNotAllowed)
            }
    }
}

private fun queueAnswer(
    call: ApplicationCall,
    calls: JobCalls,
    admitted: Admittance.Granted,
): ClientAnswer {
    if (call.request.httpMethod != HttpMethod.Get) return ClientAnswer(HttpStatusCode.MethodNotAllowed)
    val count =
        calls.pending(admitted)
            ?: return ClientAnswer(HttpStatusCode.ServiceUnavailable, retryAfterMillis = MILLIS_PER_SECOND)
    return ClientAnswer(HttpStatusCode.OK, wireJson.encodeToString(WirePending.serializer(), WirePending(count)))
}

// No job has such an id, so none is stored under it, and none is found.
private fun idAnswer(call: ApplicationCall): ClientAnswer =
    when (call.request.httpMethod) {
        HttpMethod.Post -> refused(ID_PROBLEM)
        HttpMethod.Get, HttpMethod.Delete -> ClientAnswer(HttpStatusCode.Gone)
        else -> ClientAnswer(HttpStatusCode.MethodNotAllowed)
    }

private fun refused(problem: String): ClientAnswer {
    val text = wireJson.encodeToString(WireProblem.serializer(), WireProblem(problem))
    return ClientAnswer(HttpStatusCode.BadRequest, text)
}

private suspend fun submit(
    call: ApplicationCall,
    calls: JobCalls,
    admitted: Admittance.Granted,
    body: ByteArray?,
    waitMillis: Long,
): ClientAnswer {
    val most = calls.configuration?.maxBodyBytes ?: DEFAULT_BODY_BYTES
    if (body == null || body.size > most) return ClientAnswer(HttpStatusCode.PayloadTooLarge)
    val declaredBytes = call.request.header(HttpHeaders.ContentLength)?.toLongOrNull()
    if (declaredBytes != null && declaredBytes != body.size.toLong()) return refused(LENGTH_PROBLEM)
    val specification = readJob(body) ?: return refused(BODY_PROBLEM)
    boundsProblem(specification)?.let { problem ->
        return refused(problem.replace(fieldPattern) { wireNameByField.getValue(it.value) })
    }
    return when (val outcome = calls.submit(admitted, specification, waitMillis)) {
        is SubmitOutcome.Accepted -> ClientAnswer(HttpStatusCode.OK, "{}")
        is SubmitOutcome.Refused ->
            ClientAnswer(HttpStatusCode.ServiceUnavailable, retryAfterMillis = outcome.retryAfterMillis)
        is SubmitOutcome.TurnedAway ->
            ClientAnswer(HttpStatusCode.TooManyRequests, retryAfterMillis = outcome.refusal.retryAfterMillis)
        is SubmitOutcome.Unsettled -> ClientAnswer(HttpStatusCode.GatewayTimeout)
    }
}

private suspend fun lookup(
    calls: JobCalls,
    admitted: Admittance.Granted,
    waitMillis: Long,
): ClientAnswer =
    when (val outcome = calls.lookup(admitted, waitMillis)) {
        is JobLookup.Found -> {
            val state = WireState(stateName(outcome.state))
            ClientAnswer(HttpStatusCode.OK, wireJson.encodeToString(WireState.serializer(), state))
        }

        is JobLookup.Unknown -> ClientAnswer(HttpStatusCode.Gone)
        is JobLookup.Unavailable ->
            ClientAnswer(HttpStatusCode.ServiceUnavailable, retryAfterMillis = MILLIS_PER_SECOND)
    }

private suspend fun cancel(
    calls: JobCalls,
    admitted: Admittance.Granted,
    waitMillis: Long,
): ClientAnswer =
    when (calls.cancel(admitted, waitMillis)) {
        is CancelOutcome.Cancelled -> ClientAnswer(HttpStatusCode.OK, "{}")
        is CancelOutcome.Unknown -> ClientAnswer(HttpStatusCode.Gone)
        is CancelOutcome.Unsettled -> ClientAnswer(HttpStatusCode.GatewayTimeout)
    }

private fun stateName(state: JobState): String =
    when (state) {
        JobState.QUEUED -> "queued"
        JobState.ACTIVE -> "active"
        JobState.COMPLETED -> "completed"
        JobState.FAILED -> "failed"
        JobState.CANCELLED -> "cancelled"
    }

private fun secondsUp(millis: Long): String = ((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString()
