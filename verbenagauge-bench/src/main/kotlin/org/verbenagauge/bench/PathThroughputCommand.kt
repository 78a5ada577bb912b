package org.verbenagauge.bench

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Measures the requests a second that callers get who each wait for their answer before they send again. */
@OptIn(ExperimentalCli::class)
internal class PathThroughputCommand :
    Subcommand("path-throughput", "Requests a second of callers that each wait for their answer.") {
    private val url by option(ArgType.String, "url", description = "Job address").required()
    private val key by option(ArgType.String, "key", description = "Key of a team")
    private val callers by option(ArgType.Int, "callers", description = "Callers at once").default(48)
    private val seconds by option(ArgType.Int, "seconds", description = "Measured seconds").default(10)
    private val warmSeconds by option(ArgType.Int, "warm-seconds", description = "Unmeasured seconds").default(15)

    override fun execute() {
        val load = JobLoad(url, key)
        runBlocking {
            closedLoop(load, warmSeconds)
            load.reset()
            closedLoop(load, seconds)
        }
        val latency = load.latency()
        println("throughput: ${latency.totalCount / seconds} requests/s; ${latency.summary()} failed=${load.failures}")
        load.close()
    }

    private suspend fun closedLoop(
        load: JobLoad,
        seconds: Int,
    ) = coroutineScope {
        val end = TimeSource.Monotonic.markNow() + seconds.seconds
        repeat(callers) {
            launch(Dispatchers.Default) {
                while (end.hasNotPassedNow()) load.send()
            }
        }
    }
}
