package org.verbenagauge.entry

import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager

/** Exit code of a process whose planned stop took too long and was cut off. */
public const val STOP_TIMEOUT_EXIT_CODE: Int = 10

/**
 * Stops [entry] gracefully when the process gets SIGTERM, and then ends the process with 0, or with
 * [STOP_TIMEOUT_EXIT_CODE] when the stop has not ended after [longestMillis]. By itself, the JVM would end with 143.
 */
public fun stopOnTermination(
    entry: Entry,
    longestMillis: Long,
) {
    val hook =
        Thread {
            val stopped = runBlocking { withTimeoutOrNull(longestMillis) { entry.stop() } }
            LogManager.shutdown()
            Runtime.getRuntime().halt(if (stopped == null) STOP_TIMEOUT_EXIT_CODE else 0)
        }
    Runtime.getRuntime().addShutdownHook(hook)
}
