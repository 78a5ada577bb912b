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

/**
 * The owner's row as an entry saw it.
 *
 * @property record content; null when there is no row.
 * @property version version of the row; 0 when there is none.
 * @property observedAtMillis when this version was seen first.
 * @property ageAtStartMillis age of the row by the time of day, if it is the first that this process has read.
 */
public data class ObservedOwner(
    val record: OwnerRecord?,
    val version: Long,
    val observedAtMillis: Long,
    val ageAtStartMillis: Long? = null,
)

/** States of jobs and the row of the owner, as one entry follows them in the store. */
internal class StateCatalogue(
    store: RowStore,
    private val clock: Clock,
) {
    private val follower = TableFollower(store, listOf(StoredTables.states), FEED_WAIT_MILLIS, FEED_PAUSE_MILLIS)
    private val states =
        object : LinkedHashMap<String, JobState>() {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JobState>) = size > MAX_STATES
        }

    /** The owner's row, or null before the table was read. */
    var owner: ObservedOwner? = null
        private set

    /** Has an element after the row of the owner has changed. */
    val ownerChanges = Channel<Unit>(Channel.CONFLATED)

    /** Since when the store has answered without a gap; null while it does not. */
    var contactSinceMillis: Long? = null
        private set

    private val versions = KnownVersions()

    /** Newest version of the store that a call which comes now surely came after. */
    val knownVersion: Long get() = versions.knownBefore(clock.monotonicMillis())

    private var lastAnswerMillis = Long.MIN_VALUE / 2

    /** Time since the store last answered. */
    fun silenceMillis(): Long = clock.monotonicMillis() - lastAnswerMillis

    /** Runs until cancelled. */
    suspend fun run() {
        follower.run(onAll = ::applySnapshot, onChanges = ::applyChanges, onContact = ::recordContact)
    }

    /** State of [jobId] as far as it was told, or null. */
    fun state(jobId: String): JobState? = states[jobId]

    /** Keeps what a direct read or an acceptance of this entry told, unless the feed has told more. */
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

    /** Takes note that the store has reached [version]. */
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
        owner = ObservedOwner(record, row.version, clock.monotonicMillis(), ageMillis)
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

        // Each call is paid for. The owner tells states directly as well; without that they are shown this much later.
        const val FEED_PAUSE_MILLIS = 250L
        const val MAX_STATES = 100_000
    }
}
