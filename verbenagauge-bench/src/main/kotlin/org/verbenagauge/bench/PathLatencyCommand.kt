package org.verbenagauge.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram

private const val NANOS_PER_SECOND = 1_000_000_000L
private const val NANOS_PER_MILLI = 1_000_000L
private const val MICROS_PER_MILLI = 1_000.0

/** Measures the latency that an entry adds, against direct calls to the same endpoint in the same run. */
@OptIn(ExperimentalCli::class)
internal class PathLatencyCommand :
    Subcommand("path-latency", "Latency that an entry adds against direct calls, at a fixed rate.") {
    private val direct by option(ArgType.String, "direct", description = "Job address on the endpoint").required()
    private val entry by option(ArgType.String, "entry", description = "Job address on the entry").required()
    private val key by option(ArgType.String, "key", description = "Key of a team").required()
    private val rate by option(ArgType.Int, "rate", description = "Requests a second on each path").default(500)
    private val seconds by option(ArgType.Int, "seconds", description = "Measured seconds").default(20)
    private val warmSeconds by option(ArgType.Int, "warm-seconds", description = "Unmeasured seconds").default(20)

    override fun execute() {
        val directLoad = JobLoad(direct, key = null)
        val entryLoad = JobLoad(entry, key)
        runBlocking {
            paced(listOf(directLoad, entryLoad), warmSeconds)
            directLoad.reset()
            entryLoad.reset()
            paced(listOf(directLoad, entryLoad), seconds)
        }
        val directLatency = directLoad.latency()
        val entryLatency = entryLoad.latency()
        println("direct: ${directLatency.summary()} failed=${directLoad.failures}")
        println("entry:  ${entryLatency.summary()} failed=${entryLoad.failures}")
        println("added:  ${added(directLatency, entryLatency)}")
        directLoad.close()
        entryLoad.close()
    }

    // Sends at fixed times, whether or not earlier answers have come.
    private suspend fun paced(
        loads: List<JobLoad>,
        seconds: Int,
    ) = coroutineScope {
        val startNanos = System.nanoTime()
        repeat(rate * seconds) { index ->
            delayUntil(startNanos + index * NANOS_PER_SECOND / rate)
            loads.forEach { load -> launch(Dispatchers.Default) { load.send() } }
        }
    }

    private suspend fun delayUntil(dueAtNanos: Long) {
        val waitNanos = dueAtNanos - System.nanoTime()
        if (waitNanos > NANOS_PER_MILLI) delay(waitNanos / NANOS_PER_MILLI)
    }

    private fun added(
        direct: Histogram,
        entry: Histogram,
    ): String =
        listOf(50.0, 99.0, 99.9).joinToString(" ") { percentile ->
            val micros = entry.getValueAtPercentile(percentile) - direct.getValueAtPercentile(percentile)
            "p$percentile=${"%.3f".format(micros / MICROS_PER_MILLI)} ms"
        }
}
