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
import kotlinx.serialization.json.Json
import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.caller.CallerHeaders
import org.verbenagauge.entry.jobs.front.JobCallAnswer
import java.io.IOException

/** Outcome of a call about a job. */
internal sealed interface JobCallOutcome {
    /** The entry instance carried it out. */
    data class Done(
        val answer: JobCallAnswer,
    ) : JobCallOutcome

    /** It was refused or is not known to be carried out, for [cause]. */
    data class Failed(
        val cause: String,
        val exitCode: ExitCode,
    ) : JobCallOutcome
}

/** Client of the interface for jobs at [baseUrl]. */
internal class JobClient(
    private val baseUrl: String,
    private val key: String?,
) {
    /** Calls [path] below `/v1/jobs`. */
    suspend fun call(
        method: HttpMethod,
        path: String,
        body: String? = null,
    ): JobCallOutcome {
        val lostCode = if (method == HttpMethod.Get) ExitCode.UNAVAILABLE else ExitCode.UNKNOWN
        return try {
            withTimeout(TIMEOUT_MILLIS) { send(method, path, body) }
        } catch (e: TimeoutCancellationException) {
            JobCallOutcome.Failed("no answer from $baseUrl within $TIMEOUT_MILLIS ms: ${e.message}", lostCode)
        } catch (e: IOException) {
            JobCallOutcome.Failed("no answer from $baseUrl: ${e.message}", lostCode)
        }
    }

    private suspend fun send(
        method: HttpMethod,
        path: String,
        body: String?,
    ): JobCallOutcome =
        HttpClient(CIO) { expectSuccess = false }.use { client ->
            val response =
                client.request("$baseUrl/v1/jobs/$path") {
                    this.method = method
                    key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
                    body?.let(::setBody)
                }
            outcome(response.headers[CallerHeaders.REASON], response.bodyAsText())
        }

    private fun outcome(
        reasonCode: String?,
        body: String,
    ): JobCallOutcome {
        val reason =
            Reason.entries.firstOrNull { it.code == reasonCode }
                ?: return JobCallOutcome.Failed("$baseUrl is no entry instance that runs jobs", ExitCode.UNAVAILABLE)
        val answer =
            try {
                Json.decodeFromString(JobCallAnswer.serializer(), body)
            } catch (e: SerializationException) {
                return JobCallOutcome.Failed("the answer cannot be read: ${e.message}", ExitCode.UNKNOWN)
            }
        if (reason.verdict == Verdict.RAN) return JobCallOutcome.Done(answer)
        return JobCallOutcome.Failed("${reason.code}: ${answer.detail ?: reason.text}", exitCodeOf(reason))
    }

    private companion object {
        // The entry instance answers within three seconds.
        const val TIMEOUT_MILLIS = 10_000L
    }
}

private fun exitCodeOf(reason: Reason): ExitCode =
    when (reason) {
        Reason.KEY_MISSING, Reason.KEY_UNKNOWN -> ExitCode.REFUSED
        Reason.JOB_MALFORMED, Reason.JOB_ID_MALFORMED, Reason.BODY_TOO_LARGE -> ExitCode.INVALID
        Reason.JOB_UNKNOWN, Reason.UNKNOWN_QUEUE -> ExitCode.INVALID
        Reason.JOB_MAY_BE_STORED -> ExitCode.UNKNOWN
        else -> ExitCode.UNAVAILABLE
    }
