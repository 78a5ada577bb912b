package org.verbenagauge.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

private const val RESTART_DELAY_MILLIS = 200L

/**
 * A long-running part of the entry below a supervisor.
 *
 * @property name names the part in logs.
 */
public interface Child {
    public val name: String

    /** Runs until cancelled; the supervisor runs it again when it fails. */
    public suspend fun run()
}

/** Runs children and restarts the ones that fail, without touching the others. */
public class Supervisor(
    private val log: EventLog,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Starts [child]. */
    public fun start(child: Child) {
        scope.launch {
            while (true) {
                runOnce(child)
                delay(RESTART_DELAY_MILLIS)
            }
        }
    }

    /** Cancels all children. */
    public fun stop() {
        scope.cancel()
    }

    @Suppress("TooGenericExceptionCaught")
    private suspend fun runOnce(child: Child) {
        try {
            child.run()
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            log.write(Event.CHILD_RESTARTED, "'${child.name}' failed and starts again: $e")
        }
    }
}
