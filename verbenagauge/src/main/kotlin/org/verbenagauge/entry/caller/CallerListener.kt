package org.verbenagauge.entry.caller

import io.ktor.http.BadContentTypeFormatException
import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.URLDecodeException
import io.ktor.http.decodeURLPart
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.JobHandler
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.listener.ListenerAddress
import org.verbenagauge.entry.listener.httpListener
import java.util.UUID

private const val MILLIS_PER_SECOND = 1_000L

/** Names of the headers that callers see. */
public object CallerHeaders {
    /** Verdict of the answer: ran, not-run or may-have-run. */
    public const val VERDICT: String = "Verbenagauge-Verdict"

    /** Reason code of the answer. */
    public const val REASON: String = "Verbenagauge-Reason"

    /** Identifies the request. */
    public const val REQUEST_ID: String = "Verbenagauge-Request-Id"

    /** Longest wait for the start in milliseconds, set by the caller. */
    public const val DEADLINE_MILLIS: String = "Verbenagauge-Deadline-Millis"

    /** Names a job across retries, set by the caller. */
    public const val IDEMPOTENCY_KEY: String = "Idempotency-Key"
}

/**
 * Bounds on what a caller may send.
 *
 * @property maxBodyBytes largest body of a request.
 * @property maxHeaderBytes names and values of all headers of a request together.
 */
public data class CallerLimits(
    val maxBodyBytes: Long,
    val maxHeaderBytes: Int,
)

/** Creates the HTTP listener for callers. */
public fun callerListener(
    address: ListenerAddress,
    limits: CallerLimits,
    handler: JobHandler,
): EmbeddedServer<*, *> = httpListener(address) { callerRoutes(limits, handler) }

/** Installs the routes for callers; every answer, also to a path that does not exist, carries a verdict. */
public fun Application.callerRoutes(
    limits: CallerLimits,
    handler: JobHandler,
) {
    val reader = JobReader(limits)
    intercept(ApplicationCallPipeline.Plugins) {
        if (isDecodable(call.request.path())) return@intercept
        call.respondAnswer(JobAnswer(Reason.UNKNOWN_PATH), reader.requestId(call))
        finish()
    }
    routing {
        // The handler is cancelled when the caller has left.
        install(HttpRequestLifecycle) { cancelCallOnClose = true }
        route("/v1/queues/{queue}/jobs") {
            post {
                val answer =
                    when (val read = reader.read(call)) {
                        is JobRead.Refused -> read.answer
                        is JobRead.Accepted -> handler.handle(read.job)
                    }
                call.respondAnswer(answer, reader.requestId(call))
            }
            handle { call.respondAnswer(JobAnswer(Reason.METHOD_NOT_ALLOWED), reader.requestId(call)) }
        }
        route("{path...}") {
            handle { call.respondAnswer(JobAnswer(Reason.UNKNOWN_PATH), reader.requestId(call)) }
        }
    }
}

private fun isDecodable(path: String): Boolean =
    try {
        path.decodeURLPart()
        true
    } catch (_: URLDecodeException) {
        false
    }

internal sealed interface JobRead {
    class Accepted(
        val job: Job,
    ) : JobRead

    class Refused(
        val answer: JobAnswer,
    ) : JobRead
}

internal class JobReader(
    private val limits: CallerLimits,
) {
    fun requestId(call: ApplicationCall): String {
        val known = call.attributes.getOrNull(requestIdAttribute)
        if (known != null) return known
        return UUID.randomUUID().toString().also { call.attributes.put(requestIdAttribute, it) }
    }

    suspend fun read(call: ApplicationCall): JobRead {
        val headers = call.request.headers
        if (bytesOf(headers) > limits.maxHeaderBytes) {
            return JobRead.Refused(JobAnswer(Reason.HEADERS_TOO_LARGE, detail = "${limits.maxHeaderBytes} bytes"))
        }
        val rawDeadline = headers[CallerHeaders.DEADLINE_MILLIS]
        val deadlineMillis = rawDeadline?.toLongOrNull()
        if (rawDeadline != null && (deadlineMillis == null || deadlineMillis <= 0)) {
            return JobRead.Refused(JobAnswer(Reason.DEADLINE_MALFORMED, detail = "'${rawDeadline.take(DETAIL_CHARS)}'"))
        }
        val body =
            readBody(call)
                ?: return JobRead.Refused(JobAnswer(Reason.BODY_TOO_LARGE, detail = "${limits.maxBodyBytes} bytes"))
        return JobRead.Accepted(
            Job(
                requestId = requestId(call),
                queueId = call.parameters["queue"].orEmpty(),
                authorization = headers[HttpHeaders.Authorization],
                idempotencyKey = headers[CallerHeaders.IDEMPOTENCY_KEY],
                deadlineMillis = deadlineMillis,
                contentType = headers[HttpHeaders.ContentType],
                body = body,
            ),
        )
    }

    private suspend fun readBody(call: ApplicationCall): ByteArray? {
        val declared = call.request.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        if (declared != null && declared > limits.maxBodyBytes) return null
        val body = call.receiveChannel().readRemaining(limits.maxBodyBytes + 1).readByteArray()
        return body.takeIf { it.size <= limits.maxBodyBytes }
    }

    private fun bytesOf(headers: Headers): Int =
        headers.entries().sumOf { (name, values) -> values.sumOf { name.length + it.length } }

    private companion object {
        const val DETAIL_CHARS = 40
        val requestIdAttribute = io.ktor.util.AttributeKey<String>("request-id")
    }
}

private suspend fun ApplicationCall.respondAnswer(
    answer: JobAnswer,
    requestId: String,
) {
    response.header(CallerHeaders.VERDICT, answer.verdict.headerValue)
    response.header(CallerHeaders.REASON, answer.reason.code)
    response.header(CallerHeaders.REQUEST_ID, requestId)
    answer.retryAfterMillis?.let { response.header(HttpHeaders.RetryAfter, ceilSeconds(it)) }
    val endpointAnswer = answer.endpointAnswer
    if (endpointAnswer == null) {
        val detail = answer.detail?.let { " ($it)" }.orEmpty()
        respondText(answer.reason.text + detail + "\n", status = HttpStatusCode.fromValue(answer.reason.httpStatus))
    } else {
        respondBytes(
            bytes = endpointAnswer.body,
            contentType = endpointAnswer.contentType?.let(::contentTypeOf),
            status = HttpStatusCode.fromValue(endpointAnswer.status),
        )
    }
}

// An answer is delivered also when the endpoint or its caller has written a type that is none.
private fun contentTypeOf(text: String): ContentType? =
    try {
        ContentType.parse(text)
    } catch (_: BadContentTypeFormatException) {
        null
    }

private fun ceilSeconds(millis: Long): Long = (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND
