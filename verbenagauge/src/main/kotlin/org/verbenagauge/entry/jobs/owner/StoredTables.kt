package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.jobs.records.RefusalRecord

/** Partitions and keys of rows in the platform's store. */
internal object StoredTables {
    /** Progress of jobs, for the next owner. */
    val progress = RowPlace("progress", OWNER_PARTITION)

    /** Continuation of the progress of jobs whose progress exceeds a row. */
    val progressPages = RowPlace("progressPages", OWNER_PARTITION)

    /** States of jobs for all entries, and the row of the owner. */
    val states = RowPlace("states", OWNER_PARTITION)

    /** Workers that may hold runs, for the next owner. */
    val roster = RowPlace("roster", OWNER_PARTITION)

    /** All partitions of accepted jobs and cancellations. */
    val work: List<RowPlace> = List(WORK_PARTITIONS) { RowPlace(WORK_TABLE, "w$it") }

    /** Key of the owner's row in [states]. */
    const val OWNER_KEY = "owner"

    /** Value that replaces the row of a job that has ended. */
    val endedTombstone = ByteArray(1)

    // Separate from other partitions, so that the owner's writes do not queue behind others while the store is slow.
    private const val OWNER_PARTITION = "owner"
    private const val WORK_TABLE = "work"

    // A partition sustains some hundred writes per second, and only a few while the store is slow.
    private const val WORK_PARTITIONS = 16
    private const val JOB_PREFIX = "job/"
    private const val CANCEL_PREFIX = "cancel/"

    /** Partition of the job [jobId] and of its cancellation. */
    fun work(jobId: String): RowPlace = work[Math.floorMod(jobId.hashCode(), WORK_PARTITIONS)]

    /** Key of a job in its partition. */
    fun jobKey(jobId: String) = "$JOB_PREFIX$jobId"

    /** Key of a cancellation in the partition of its job. */
    fun cancelKey(jobId: String) = "$CANCEL_PREFIX$jobId"

    /** Key of the state of a job in [states]. */
    fun stateKey(jobId: String) = "$JOB_PREFIX$jobId"

    /** Returns the id of the job that [key] names, or null if it names none. */
    fun jobIdOf(key: String): String? = key.takeIf { it.startsWith(JOB_PREFIX) }?.removePrefix(JOB_PREFIX)

    /** Returns the id of the job that [key] cancels, or null if it cancels none. */
    fun cancelledId(key: String): String? = key.takeIf { it.startsWith(CANCEL_PREFIX) }?.removePrefix(CANCEL_PREFIX)

    /** Key of the page [name] of the progress of a job in [progressPages]. */
    fun pageKey(
        jobId: String,
        name: String,
    ) = "$jobId/$name"

    /** Returns the id of the job whose progress the page with [key] continues. */
    fun jobIdOfPage(key: String): String = key.substringBeforeLast('/')

    /** Returns the name of the page with [key]. */
    fun pageName(key: String): String = key.substringAfterLast('/')

    /** Whether [value] is an accepted job. */
    fun isJob(value: ByteArray): Boolean = RecordCodec.decode(JobRecord.serializer(), value) != null

    /** Whether [value] marks a job that was refused. */
    fun isBar(value: ByteArray): Boolean = RecordCodec.decode(RefusalRecord.serializer(), value) != null

    /** Whether [value] is the tombstone of a job that has ended. */
    fun isEndedTombstone(value: ByteArray): Boolean = value.contentEquals(endedTombstone)
}
