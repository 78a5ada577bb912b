package org.verbenagauge.entry.placement

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.content.ByteArrayContent
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.io.readByteArray
import org.verbenagauge.entry.EndpointAnswer
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import java.io.IOException
import java.net.ConnectException

/** Sends a job to an endpoint. */
public interface EndpointClient {
    /**
     * Sends [job] to [address] and waits up to [maxRunMillis] for the whole answer.
     * The reason of the answer says whether the job may have run.
     */
    public suspend fun send(
        job: Job,
        address: EndpointAddress,
        idempotent: Boolean,
        maxRunMillis: Long,
    ): JobAnswer
}

/**
 * Limits of [httpEndpointClient].
 *
 * @property connectTimeoutMillis longest time until a connection is open.
 * @property maxAnswerBytes largest answer of an endpoint.
 * @property maxConnectionsPerEndpoint connections of this entry to one endpoint.
 */
public data class EndpointClientLimits(
    val connectTimeoutMillis: Long,
    val maxAnswerBytes: Long,
    val maxConnectionsPerEndpoint: Int,
)

/** Creates a client that speaks HTTP/1.1 to endpoints. */
public fun httpEndpointClient(limits: EndpointClientLimits): EndpointClient = HttpEndpointClient(limits)

private class HttpEndpointClient(
    private val limits: EndpointClientLimits,
) : EndpointClient {
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            followRedirects = false
            engine {
                requestTimeout = 0
                maxConnectionsCount = Int.MAX_VALUE
                endpoint {
                    connectTimeout = limits.connectTimeoutMillis
                    connectAttempts = 1
                    maxConnectionsPerRoute = limits.maxConnectionsPerEndpoint
                }
            }
        }

    override suspend fun send(
        job: Job,
        address: EndpointAddress,
        idempotent: Boolean,
        maxRunMillis: Long,
    ): JobAnswer =
        try {
            withTimeout(maxRunMillis) { exchange(job, address, idempotent) }
        } catch (e: TimeoutCancellationException) {
            JobAnswer(Reason.ANSWER_TIMEOUT, detail = "endpoint '${address.instanceId}', $maxRunMillis ms")
        } catch (e: ConnectException) {
            connectFailed(address, e)
        } catch (e: ConnectTimeoutException) {
            connectFailed(address, e)
        } catch (e: IOException) {
            JobAnswer(Reason.CONNECTION_LOST, detail = "endpoint '${address.instanceId}': ${e.message}")
        }

    private fun connectFailed(
        address: EndpointAddress,
        cause: Exception,
    ) = JobAnswer(Reason.CONNECT_FAILED, detail = "endpoint '${address.instanceId}': ${cause.message}")

    private suspend fun exchange(
        job: Job,
        address: EndpointAddress,
        idempotent: Boolean,
    ): JobAnswer {
        val response =
            client.post("http://${address.host}:${address.port}/v1/queues/${job.queueId}/jobs") {
                header(REQUEST_ID_HEADER, job.requestId)
                job.idempotencyKey?.let { header(IDEMPOTENCY_KEY_HEADER, it) }
                job.contentType?.let { header(HttpHeaders.ContentType, it) }
                // A fresh connection has proved alive; a kept one may have gone silent.
                if (!idempotent) header(HttpHeaders.Connection, "close")
                setBody(ByteArrayContent(job.body))
            }
        return answer(response, address)
    }

    private suspend fun answer(
        response: HttpResponse,
        address: EndpointAddress,
    ): JobAnswer {
        val body = response.bodyAsChannel().readRemaining(limits.maxAnswerBytes + 1).readByteArray()
        if (body.size > limits.maxAnswerBytes) {
            return JobAnswer(
                Reason.ANSWER_TOO_LARGE,
                detail = "endpoint '${address.instanceId}', more than ${limits.maxAnswerBytes} bytes",
            )
        }
        val answer = EndpointAnswer(response.status.value, response.headers[HttpHeaders.ContentType], body)
        return JobAnswer(Reason.SERVED, endpointAnswer = answer)
    }

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
    }
}
