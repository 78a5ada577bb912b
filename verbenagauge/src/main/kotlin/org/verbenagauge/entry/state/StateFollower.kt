package org.verbenagauge.entry.state

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * What an entry knows of the fleet.
 *
 * @property control shared state.
 * @property listed instances as the platform's lagging list shows them.
 */
public data class FleetView(
    val control: ControlState,
    val listed: List<ListedInstance>,
)

/** Follows the changes and the instance list, and says whether what it knows is in force. */
public class StateFollower(
    private val changes: ChangeLog,
    private val instanceService: InstanceService,
    private val clock: Clock,
    private val log: EventLog,
    private val pollMillis: Long,
    private val staleAfterMillis: Long,
    private val publish: (FleetView) -> Unit,
) : Child,
    Freshness {
    private val ready = CompletableDeferred<Unit>()

    @Volatile private var confirmedAtMillis: Long? = null

    @Volatile private var listed = emptyList<ListedInstance>()

    override val name: String = "state"

    override fun isFresh(): Boolean {
        val confirmed = confirmedAtMillis ?: return false
        return clock.monotonicMillis() - confirmed <= staleAfterMillis
    }

    /** Whether the configuration has been read at least once. */
    public fun isReady(): Boolean = ready.isCompleted

    /** Waits until the configuration has been read for the first time. */
    public suspend fun awaitReady(): Unit = ready.await()

    override suspend fun run() {
        while (true) {
            poll()
            delay(pollMillis)
        }
    }

    private suspend fun poll() {
        val askedAtMillis = clock.monotonicMillis()
        val before = changes.state.value.version
        val answer = instanceService.list()
        if (answer is ReadOutcome.Found) listed = answer.value
        when (val read = changes.refresh()) {
            is ReadOutcome.Unavailable -> log.write(Event.PLATFORM_UNAVAILABLE, "table service: ${read.cause}")
            is ReadOutcome.Found -> {
                publish(FleetView(changes.state.value, listed))
                confirmedAtMillis = askedAtMillis
                ready.complete(Unit)
                if (read.value != before) log.write(Event.CONFIGURATION_IN_FORCE, "version ${read.value} is in force")
            }
        }
    }
}
