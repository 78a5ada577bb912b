package org.verbenagauge.entry.fleet

import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.state.store.InstanceService
import org.verbenagauge.entry.state.store.ListedInstance
import org.verbenagauge.entry.state.store.ReadOutcome

/**
 * Answer of the platform to a question for its list.
 *
 * @property instances instances.
 * @property askedAtMillis monotonic time of the question.
 */
public class RecordedList(
    public val instances: List<ListedInstance>,
    public val askedAtMillis: Long,
)

/** Keeps the last list that any part of the entry has read, so that the fleet manager does not read it again. */
public class ListRecorder(
    private val service: InstanceService,
    private val clock: Clock,
) : InstanceService by service {
    /** Last list, or null before the first answer. */
    @Volatile public var last: RecordedList? = null
        private set

    override suspend fun list(): ReadOutcome<List<ListedInstance>> {
        val askedAtMillis = clock.monotonicMillis()
        val outcome = service.list()
        if (outcome is ReadOutcome.Found) last = RecordedList(outcome.value, askedAtMillis)
        return outcome
    }
}
