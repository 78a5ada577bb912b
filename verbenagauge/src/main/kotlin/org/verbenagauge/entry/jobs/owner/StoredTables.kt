package org.verbenagauge.entry.jobs.owner

import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.records.BarRecord
import org.verbenagauge.entry.jobs.records.RecordCodec

/** Places and keys of rows in the platform's store. */
internal object StoredTables {
    /** Progress of jobs, for the next owner. */
    val progress = RowPlace("progress", OWNER_PARTITION)

    /** States of jobs for all entries, and the row of the owner. */
    val states = RowPlace("states", OWNER_PARTITION)

    /** Workers that may hold runs, for the next owner. */
    val roster = RowPlace("roster", OWNER_PARTITION)

    /** All places of accepted jobs and cancellations. */
    val work: List<RowPlace> = List(WORK_PARTITIONS) { RowPlace(WORK_TABLE, "w$it") }

    /** Key of the owner's row in [states]. */
    const val OWNER_KEY = "owner"

    /** Value of the row of a job that has ended, in place of what was asked for. */
    val endedTombstone = ByteArray(1)

    // Its own, so that its writes wait for no others while the store is slow.
    private const val OWNER_PARTITION = "owner"
    private const val WORK_TABLE = "work"

    // A partition takes some hundred writes a second, a few while the store is slow.
    private const val WORK_PARTITIONS = 16
    private const val JOB_PREFIX = "job/"
    private const val CANCEL_PREFIX = "cancel/"

    /** Place of the job [jobId] and of its cancellation. */
    fun work(jobId: String): RowPlace = work[Math.floorMod(jobId.hashCode(), WORK_PARTITIONS)]

    /** Key of a job at its place. */
    fun jobKey(jobId: String) = "$JOB_PREFIX$jobId"

    /** Key of a cancellation at the place of its job. */
    fun cancelKey(jobId: String) = "$CANCEL_PREFIX$jobId"

    /** Key of the state of a job in [states]. */
    fun stateKey(jobId: String) = "$JOB_PREFIX$jobId"

    /** Job that a key names, or null. */
    fun jobIdOf(key: String): String? = key.takeIf { it.startsWith(JOB_PREFIX) }?.removePrefix(JOB_PREFIX)

    /** Job that a key cancels, or null. */
    fun cancelledJobIdOf(key: String): String? =
        key.takeIf { it.startsWith(CANCEL_PREFIX) }?.removePrefix(CANCEL_PREFIX)

    /** Whether [value] is the row of a job that was refused. */
    fun isBar(value: ByteArray): Boolean = RecordCodec.decode(BarRecord.serializer(), value) != null

    /** Whether [value] is the row of a job that has ended. */
    fun isEndedTombstone(value: ByteArray): Boolean = value.contentEquals(endedTombstone)
}
