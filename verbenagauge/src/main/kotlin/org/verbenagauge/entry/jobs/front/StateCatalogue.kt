package org.verbenagauge.entry.jobs.front

import kotlinx.coroutines.channels.Channel
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.jobs.owner.StoredTables
import org.verbenagauge.entry.jobs.owner.TableFollower
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.StoredRow
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.StateRecord
import org.verbenagauge.entry.logging.EventLog

/**
 * The owner's row as an entry last read it.
 *
 * @property record content; null when there is no row.
 * @property version version of the row; 0 when there is none.
 * @property observedAtMillis when this entry first read this version, on the monotonic clock.
 * @property ageAtStartMillis wall-clock age of the row if it is the first one that this process has read, else null.
 */
public data class ObservedOwner(
    val record: OwnerRecord?,
    val version: Long,
    val observedAtMillis: Long,
    val ageAtStartMillis: Long? = null,
)

/** Keeps job states and the owner's row in memory, as one entry reads them from the change feed of the store. */
internal class StateCatalogue(
    store: RowStore,
    private val clock: Clock,
    log: EventLog,
) {
    private val follower =
        TableFollower(store, listOf(StoredTables.states), FEED_WAIT_MILLIS, FEED_PAUSE_MILLIS, log)
    private val states =
        object : LinkedHashMap<String, JobState>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JobState>) = size > MAX_STATES
        }

    /** The owner's row; null until the table has been read. */
    var owner: ObservedOwner? = null
        private set

    /** Newest row whose owner had counted the waiting jobs; null until one has been read. */
    var lastCount: ObservedOwner? = null
        private set

    /** Receives an element after each change of the owner's row; changes that nobody has received yet are merged. */
    val ownerChanges = Channel<Unit>(Channel.CONFLATED)

    /** When the store began to answer without interruption, on the monotonic clock; null while it does not answer. */
    var contactSinceMillis: Long? = null
        private set

    private val versions = KnownVersions()

    /** Newest version of the store that is certainly older than a call handled now. */
    val knownVersion: Long get() = versions.knownBefore(clock.monotonicMillis())

    private var lastAnswerMillis = Long.MIN_VALUE / 2

    /** Returns the time since the store last answered, in milliseconds. */
    fun silenceMillis(): Long = clock.monotonicMillis() - lastAnswerMillis

    /** Follows the store until cancelled. */
    suspend fun run() {
        follower.run(onAll = ::applySnapshot, onChanges = ::applyChanges, onContact = ::recordContact)
    }

    /** Returns the newest known state of [jobId]; null when none is known. */
    fun state(jobId: String): JobState? = states[jobId]

    /** Records a state from a direct read, an acceptance here or a broadcast, unless a later state is known. */
    fun recordState(
        jobId: String,
        state: JobState,
    ) {
        val known = states[jobId]
        if (known == null || known < state) states[jobId] = state
    }

    private fun recordContact(isAnswered: Boolean) {
        val now = clock.monotonicMillis()
        if (!isAnswered) {
            contactSinceMillis = null
            return
        }
        lastAnswerMillis = now
        if (contactSinceMillis == null) contactSinceMillis = now
    }

    private fun applySnapshot(batch: RowBatch) {
        if (batch.rows.none { it.key == StoredTables.OWNER_KEY } && owner == null) {
            owner = ObservedOwner(null, 0, clock.monotonicMillis())
            ownerChanges.trySend(Unit)
        }
        applyChanges(batch)
    }

    /** Records that the store has reached [version]. */
    fun recordVersion(version: Long) {
        versions.record(version, clock.monotonicMillis())
    }

    private fun applyChanges(batch: RowBatch) {
        recordVersion(batch.version)
        batch.rows.forEach { row ->
            if (row.key == StoredTables.OWNER_KEY) applyOwner(row) else applyState(row)
        }
    }

    private fun applyOwner(row: StoredRow) {
        if (row.version <= (owner?.version ?: -1)) return
        val record = row.value?.let { RecordCodec.decode(OwnerRecord.serializer(), it) }
        val ageMillis = if (owner == null) ageMillis(record) else null
        val observed = ObservedOwner(record, row.version, clock.monotonicMillis(), ageMillis)
        owner = observed
        if (record?.pendingAgeMillis != null) lastCount = observed
        ownerChanges.trySend(Unit)
    }

    private fun ageMillis(record: OwnerRecord?): Long? =
        record?.writtenUnixMillis?.takeIf { it > 0 }?.let { clock.wallMillis() - it }

    private fun applyState(row: StoredRow) {
        val jobId = StoredTables.jobIdOf(row.key) ?: return
        val record = row.value?.let { RecordCodec.decode(StateRecord.serializer(), it) } ?: return
        if (states[jobId]?.isFinal != true) states[jobId] = record.state
    }

    private companion object {
        const val FEED_WAIT_MILLIS = 1_000L

        // Limits the number of store calls, each of which is charged. The owner also broadcasts states directly;
        // without a broadcast, a state is visible this much later.
        const val FEED_PAUSE_MILLIS = 250L
        const val MAX_STATES = 100_000
    }
}
