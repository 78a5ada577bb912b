package org.verbenagauge.entry

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
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

/** Runs [child] until cancelled, and again when it fails or ends, in the calling coroutine. */
public suspend fun supervise(
    child: Child,
    log: EventLog,
): Nothing {
    while (true) {
        runOnce(child, log)
        delay(RESTART_DELAY_MILLIS)
    }
}

@Suppress("TooGenericExceptionCaught")
private suspend fun runOnce(
    child: Child,
    log: EventLog,
) {
    try {
        child.run()
    } catch (e: CancellationException) {
        // A part that was cancelled on its own account has only ended.
        currentCoroutineContext().ensureActive()
        log.write(Event.CHILD_RESTARTED, "'${child.name}' ended and starts again: $e")
    } catch (e: Exception) {
        log.write(Event.CHILD_RESTARTED, "'${child.name}' failed and starts again: $e")
    } catch (e: Error) {
        // An entry whose part stays away would still be ready and hold its duties.
        log.write(Event.CHILD_RESTARTED, "'${child.name}' failed and starts again: $e")
    }
}

/** Returns a child named [name] that does what [run] does. */
public fun child(
    name: String,
    run: suspend () -> Unit,
): Child =
    object : Child {
        override val name = name

        override suspend fun run() = run()
    }

/** Runs children and restarts the ones that fail, without touching the others. */
public class Supervisor(
    private val log: EventLog,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Starts [child]. */
    public fun start(child: Child) {
        scope.launch { supervise(child, log) }
    }

    /** Cancels all children. */
    public fun stop() {
        scope.cancel()
    }
}
