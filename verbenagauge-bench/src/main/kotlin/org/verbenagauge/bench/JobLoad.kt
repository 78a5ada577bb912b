package org.verbenagauge.bench

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.HttpHeaders
import org.HdrHistogram.Histogram
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

private const val MAX_LATENCY_MICROS = 60_000_000L
private const val HISTOGRAM_DIGITS = 3
private const val NANOS_PER_MICRO = 1_000L
private const val MICROS_PER_MILLI = 1_000.0
private const val HTTP_OK = 200
private const val MAX_CONNECTIONS = 4_096

/** Sends one kind of job to [url] and measures how long the whole answer takes. */
internal class JobLoad(
    private val url: String,
    private val key: String?,
) : AutoCloseable {
    private val histogram = Histogram(MAX_LATENCY_MICROS, HISTOGRAM_DIGITS)
    private val failed = AtomicLong()
    private val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                maxConnectionsCount = MAX_CONNECTIONS
                requestTimeout = 0
                endpoint { maxConnectionsPerRoute = MAX_CONNECTIONS }
            }
        }

    val failures: Long get() = failed.get()

    suspend fun send() {
        val sentAtNanos = System.nanoTime()
        if (!isServed()) failed.incrementAndGet()
        val micros = (System.nanoTime() - sentAtNanos) / NANOS_PER_MICRO
        synchronized(histogram) { histogram.recordValue(minOf(micros, MAX_LATENCY_MICROS)) }
    }

    private suspend fun isServed(): Boolean =
        try {
            val response =
                client.post(url) {
                    key?.let { header(HttpHeaders.Authorization, "Bearer $it") }
                    setBody(SMALL_BODY)
                }
            response.bodyAsBytes()
            response.status.value == HTTP_OK
        } catch (e: IOException) {
            false
        }

    fun reset() {
        synchronized(histogram) { histogram.reset() }
        failed.set(0)
    }

    fun latency(): Histogram = synchronized(histogram) { histogram.copy() }

    override fun close() = client.close()

    private companion object {
        const val SMALL_BODY = "lot 7, 12 crates"
    }
}

internal fun Histogram.summary(): String =
    "n=$totalCount p50=${millis(50.0)} ms p99=${millis(99.0)} ms p99.9=${millis(99.9)} ms"

private fun Histogram.millis(percentile: Double): String =
    "%.3f".format(getValueAtPercentile(percentile) / MICROS_PER_MILLI)
