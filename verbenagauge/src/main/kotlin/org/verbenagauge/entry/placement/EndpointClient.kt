package org.verbenagauge.entry.placement

import io.ktor.client.HttpClient
import io.ktor.client.engine.apache5.Apache5
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.ByteArrayContent
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.readByteArray
import org.apache.hc.client5.http.impl.async.HttpAsyncClientBuilder
import org.apache.hc.core5.http.HttpException
import org.apache.hc.core5.reactor.IOReactorConfig
import org.apache.hc.core5.util.TimeValue
import org.verbenagauge.entry.EndpointAnswer
import org.verbenagauge.entry.Job
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.Reason
import java.net.ConnectException

/** Names of the headers between entries and endpoints. */
public object EndpointHeaders {
    /** With the value true on status 503: the endpoint is draining, has not run the request and will not run it. */
    public const val DRAINING: String = "Endpoint-Draining"

    /** Maximum run time in milliseconds, after which the endpoint ends the request. */
    public const val MAX_RUN_MILLIS: String = "Verbenagauge-Max-Run-Millis"
}

/** Sends a job to an endpoint. */
public interface EndpointClient {
    /**
     * Sends [job] to [address] and waits up to [maxRunMillis] milliseconds for the complete response.
     * The reason of the returned answer says whether the job may have run.
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
 * @property connectTimeoutMillis maximum time to open a connection.
 * @property maxAnswerBytes maximum size of an endpoint's response body.
 * @property maxConnectionsPerEndpoint maximum number of connections to one endpoint.
 */
public data class EndpointClientLimits(
    val connectTimeoutMillis: Long,
    val maxAnswerBytes: Long,
    val maxConnectionsPerEndpoint: Int,
)

/** Creates a client that sends jobs to endpoints over HTTP/1.1. */
public fun httpEndpointClient(limits: EndpointClientLimits): EndpointClient = HttpEndpointClient(limits)

private class HttpEndpointClient(
    private val limits: EndpointClientLimits,
) : EndpointClient {
    private val singleUseClient = createClient { setConnectionReuseStrategy { _, _, _ -> false } }
    private val pooledClient = createClient { }

    private fun createClient(customize: HttpAsyncClientBuilder.() -> Unit) =
        HttpClient(Apache5) {
            expectSuccess = false
            followRedirects = false
            engine {
                connectTimeout = limits.connectTimeoutMillis
                connectionRequestTimeout = limits.connectTimeoutMillis
                socketTimeout = 0
                configureConnectionManager {
                    setMaxConnPerRoute(limits.maxConnectionsPerEndpoint)
                    setMaxConnTotal(Int.MAX_VALUE)
                }
                customizeClient {
                    // Only the verdict decides on a retry, so the library must not resend a request.
                    disableAutomaticRetries()
                    setKeepAliveStrategy { _, _ -> TimeValue.ofMilliseconds(MAX_IDLE_MILLIS) }
                    evictIdleConnections(TimeValue.ofMilliseconds(IDLE_EVICTION_MILLIS))
                    setIOReactorConfig(keepAliveConfig)
                    customize()
                }
            }
        }

    @Suppress("TooGenericExceptionCaught")
    override suspend fun send(
        job: Job,
        address: EndpointAddress,
        idempotent: Boolean,
        maxRunMillis: Long,
    ): JobAnswer =
        try {
            withTimeoutOrNull(maxRunMillis) { exchange(job, address, idempotent, maxRunMillis) }
                ?: JobAnswer(Reason.ANSWER_TIMEOUT, detail = "endpoint '${address.instanceId}', $maxRunMillis ms")
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            failure(address, e)
        }

    private fun failure(
        address: EndpointAddress,
        cause: Exception,
    ) = JobAnswer(reasonOf(cause), detail = "endpoint '${address.instanceId}': ${cause.message}")

    // The client throws connect exceptions only before the connection is open, so no byte has been sent.
    private fun reasonOf(cause: Exception): Reason =
        when (cause) {
            is ConnectException, is ConnectTimeoutException -> Reason.CONNECT_FAILED
            is HttpException, is IllegalArgumentException -> Reason.ANSWER_INVALID
            else -> Reason.CONNECTION_LOST
        }

    // A connection that was idle may be unresponsive, so pooled connections carry only idempotent requests.
    private fun clientFor(idempotent: Boolean) = if (idempotent) pooledClient else singleUseClient

    private suspend fun exchange(
        job: Job,
        address: EndpointAddress,
        idempotent: Boolean,
        maxRunMillis: Long,
    ): JobAnswer =
        clientFor(idempotent)
            .preparePost("http://${address.host}:${address.port}/v1/queues/${job.queueId}/jobs") {
                header(REQUEST_ID_HEADER, job.requestId)
                header(MAX_RUN_HEADER, maxRunMillis)
                job.idempotencyKey?.let { header(IDEMPOTENCY_KEY_HEADER, it) }
                job.contentType?.let { header(HttpHeaders.ContentType, it) }
                if (!idempotent) header(HttpHeaders.Connection, "close")
                setBody(ByteArrayContent(job.body))
            }.execute { readAnswer(it, address) }

    private suspend fun readAnswer(
        response: HttpResponse,
        address: EndpointAddress,
    ): JobAnswer {
        if (isDraining(response)) {
            return JobAnswer(Reason.ENDPOINT_DRAINING, detail = "endpoint '${address.instanceId}'")
        }
        val length = response.headers[HttpHeaders.ContentLength]?.toLongOrNull()
        val chunked = response.headers[HttpHeaders.TransferEncoding] != null
        if (length == null && !chunked && response.status !in statusesWithoutBody) {
            val detail = "endpoint '${address.instanceId}': neither Content-Length nor Transfer-Encoding in response"
            return JobAnswer(Reason.ANSWER_INVALID, detail = detail)
        }
        val channel = response.bodyAsChannel()
        val body = channel.readRemaining(limits.maxAnswerBytes + 1).readByteArray()
        // The bounded read does not throw when the connection is lost within the body.
        channel.closedCause?.let { throw it }
        if (body.size > limits.maxAnswerBytes) {
            val detail = "endpoint '${address.instanceId}': response exceeds ${limits.maxAnswerBytes} bytes"
            return JobAnswer(Reason.ANSWER_TOO_LARGE, detail = detail)
        }
        if (length != null && length != body.size.toLong()) {
            val detail = "endpoint '${address.instanceId}': response truncated, got ${body.size} of $length bytes"
            return JobAnswer(Reason.CONNECTION_LOST, detail = detail)
        }
        val answer = EndpointAnswer(response.status.value, response.headers[HttpHeaders.ContentType], body)
        return JobAnswer(Reason.SERVED, endpointAnswer = answer)
    }

    private fun isDraining(response: HttpResponse): Boolean =
        response.status == HttpStatusCode.ServiceUnavailable &&
            response.headers[EndpointHeaders.DRAINING].equals("true", ignoreCase = true)

    private companion object {
        const val MAX_RUN_HEADER = EndpointHeaders.MAX_RUN_MILLIS

        // Idle connections are reused only for a short time: the longer one is idle, the likelier it is unresponsive.
        const val MAX_IDLE_MILLIS = 100L
        const val IDLE_EVICTION_MILLIS = 2_000L

        // TCP keep-alive closes a connection that becomes unresponsive during a request after
        // idle + count * interval seconds.
        val keepAliveConfig: IOReactorConfig =
            IOReactorConfig
                .custom()
                .setTcpNoDelay(true)
                .setSoKeepAlive(true)
                .setTcpKeepIdle(2)
                .setTcpKeepInterval(1)
                .setTcpKeepCount(3)
                .build()
        val statusesWithoutBody = setOf(HttpStatusCode.NoContent, HttpStatusCode.NotModified)
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
    }
}
