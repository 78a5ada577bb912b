package org.verbenagauge.cli

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.operator.IDEMPOTENCY_KEY_HEADER
import org.verbenagauge.entry.operator.Problem
import org.verbenagauge.entry.operator.ProblemKind
import org.verbenagauge.entry.operator.adminJson
import java.io.IOException
import java.util.UUID

private const val TIMEOUT_MILLIS = 15_000L
private const val MAX_ATTEMPTS = 3
private const val FIRST_ERROR_STATUS = 400

/** Answer of the administration API. */
internal sealed interface AdminAnswer {
    /** The request was carried out; [body] is JSON. */
    data class Done(
        val body: String,
    ) : AdminAnswer

    /** The request was refused. */
    data class Refused(
        val problem: Problem,
        val exitCode: ExitCode,
    ) : AdminAnswer

    /** No answer came, for [cause]. */
    data class Silent(
        val cause: String,
        val exitCode: ExitCode,
    ) : AdminAnswer
}

/** Client of the administration API of the entry instance at [baseUrl]. */
internal class AdminClient(
    private val baseUrl: String,
    private val key: String,
) {
    /** Reads [path]. */
    suspend fun get(path: String): AdminAnswer = send(HttpMethod.Get, path, null, null)

    /** Asks for a change; [ifMatch] is the condition on the version of the document. */
    suspend fun change(
        method: HttpMethod,
        path: String,
        body: String?,
        ifMatch: String,
    ): AdminAnswer = send(method, path, body, ifMatch)

    // The same idempotency key settles a change whose answer was lost.
    private suspend fun send(
        method: HttpMethod,
        path: String,
        body: String?,
        ifMatch: String?,
    ): AdminAnswer {
        val operationId = UUID.randomUUID().toString()
        var answer: AdminAnswer = AdminAnswer.Silent("not sent", ExitCode.UNAVAILABLE)
        repeat(MAX_ATTEMPTS) {
            answer = sendOnce(method, path, body, ifMatch, operationId)
            if (answer !is AdminAnswer.Silent) return answer
        }
        return answer
    }

    private suspend fun sendOnce(
        method: HttpMethod,
        path: String,
        body: String?,
        ifMatch: String?,
        operationId: String,
    ): AdminAnswer {
        val lostCode = if (method == HttpMethod.Get) ExitCode.UNAVAILABLE else ExitCode.UNKNOWN
        return try {
            withTimeout(TIMEOUT_MILLIS) {
                HttpClient(CIO) { expectSuccess = false }.use { client ->
                    val response =
                        client.request("$baseUrl/v1/admin/$path") {
                            this.method = method
                            header(HttpHeaders.Authorization, "Bearer $key")
                            header(IDEMPOTENCY_KEY_HEADER, operationId)
                            ifMatch?.let { header(HttpHeaders.IfMatch, it) }
                            body?.let(::setBody)
                        }
                    answerOf(response.status.value, response.bodyAsText())
                }
            }
        } catch (e: TimeoutCancellationException) {
            AdminAnswer.Silent("no answer from $baseUrl within $TIMEOUT_MILLIS ms", lostCode)
        } catch (e: IOException) {
            AdminAnswer.Silent("no answer from $baseUrl: ${e.message}", lostCode)
        }
    }
}

private fun answerOf(
    status: Int,
    body: String,
): AdminAnswer {
    if (status < FIRST_ERROR_STATUS) return AdminAnswer.Done(body)
    val problem =
        try {
            adminJson.decodeFromString(Problem.serializer(), body)
        } catch (e: SerializationException) {
            Problem("about:blank", "status $status", status, body.take(MAX_SHOWN_CHARS))
        }
    return AdminAnswer.Refused(problem, exitCodeOf(problem))
}

private const val MAX_SHOWN_CHARS = 200

private fun exitCodeOf(problem: Problem): ExitCode =
    when (ProblemKind.entries.firstOrNull { problem.type.endsWith(":${it.type}") }) {
        ProblemKind.KEY_REFUSED, ProblemKind.RIGHT_MISSING, ProblemKind.CROSS_SITE -> ExitCode.REFUSED
        ProblemKind.VERSION_CONFLICT, ProblemKind.KEY_NOT_SHOWN -> ExitCode.CONFLICT
        ProblemKind.INVALID, ProblemKind.MALFORMED, ProblemKind.NOT_FOUND, ProblemKind.TOO_LARGE -> ExitCode.INVALID
        ProblemKind.OUTCOME_UNKNOWN -> ExitCode.UNKNOWN
        ProblemKind.VERSION_MISSING -> ExitCode.USAGE
        ProblemKind.ENTRY_STALE, ProblemKind.STORE_UNAVAILABLE, null -> ExitCode.UNAVAILABLE
    }
