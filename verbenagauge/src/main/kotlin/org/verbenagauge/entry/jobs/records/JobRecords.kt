package org.verbenagauge.entry.jobs.records

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobState
import org.verbenagauge.entry.load.LoadPressure

/**
 * Stored record of an accepted job.
 *
 * @property teamName account whose key was sent with the job; empty on open queues.
 * @property acceptedUnixMillis time at which an entry accepted the job.
 * @property acceptedQueue settings of the queue under which the job was accepted; null in records of releases that did
 * not store them.
 */
@Serializable
public data class JobRecord(
    val queueName: String,
    val teamName: String,
    val acceptedUnixMillis: Long,
    val specification: JobSpecification,
    val acceptedQueue: AcceptedQueue? = null,
)

/**
 * Record stored in place of a refused job. It reserves the job id, and no task of the job runs.
 *
 * @property refusals number of times that the job was refused.
 */
@Serializable
public data class RefusalRecord(
    @SerialName("barred") val refusals: Int,
)

/**
 * Stored progress of a job. It is written before workers are allowed to discard the results of ended runs. Progress
 * that exceeds a row continues in [ProgressPage]s; the row then holds what fits, for releases that read no pages.
 *
 * @property doneTasks local keys of tasks that are done, and numbers of occurrences that are done.
 * @property failedRuns failed runs by local key of the task.
 * @property checkpoints latest checkpoint by local key of the task.
 * @property isStarted whether a worker has shown a run; releases that store a record with the first order leave it out.
 * @property doneOccurrenceWords occurrences that are done, in addition to those in [doneTasks]: bit I of word W stands
 * for occurrence 64 x W + I.
 */
@Serializable
public data class ProgressRecord(
    val doneTasks: List<String> = emptyList(),
    val failedRuns: Map<String, List<Long>> = emptyMap(),
    val checkpoints: Map<String, String> = emptyMap(),
    val isStarted: Boolean = false,
    val doneOccurrenceWords: List<Long> = emptyList(),
) {
    /** Whether a run of the job has started. */
    val showsStart: Boolean
        get() =
            isStarted ||
                doneTasks.isNotEmpty() ||
                doneOccurrenceWords.isNotEmpty() ||
                failedRuns.isNotEmpty() ||
                checkpoints.isNotEmpty()
}

/**
 * Stored progress of a fixed range of the tasks of a job, numbered as [TaskNumbers] does.
 *
 * @property doneWords tasks that are done: bit I of word W stands for task 64 x W + I of the page.
 * @property failedRuns failed runs by position of the task in the page.
 * @property checkpoints latest checkpoint by position of the task in the page.
 */
@Serializable
internal data class ProgressPage(
    val doneWords: List<Long> = emptyList(),
    val failedRuns: Map<Int, List<Long>> = emptyMap(),
    val checkpoints: Map<Int, String> = emptyMap(),
)

/**
 * Stored state of a job, which all entries read.
 *
 * @property sinceUnixMillis time at which the state was reached.
 */
@Serializable
public data class StateRecord(
    val queueName: String,
    val state: JobState,
    val sinceUnixMillis: Long,
)

/**
 * Lease of the owner, the entry that schedules jobs, with its heartbeat.
 *
 * @property entryId entry that is the owner; empty when the last owner has released its ownership.
 * @property epoch increases with every change of the owner; the fencing token of its orders.
 * @property sequence increases with every write of the owner.
 * @property pendingByQueue number of accepted jobs without a started task, by queue.
 * @property writtenUnixMillis wall-clock time of the owner when it wrote the record; 0 when not reported.
 * @property keepsRoster whether every worker that may hold runs has a row; releases without a roster do not write this
 * field.
 * @property pressure load pressure on the queues; null when not reported.
 * @property pendingAgeMillis time for which the owner had not read accepted jobs when it counted [pendingByQueue]; null
 * when it has not counted, as while it takes over and repeats the counts of the owner before it.
 * @property omitsPending whether queues with pending jobs are left out of [pendingByQueue] for want of room.
 * @property leaseEndsSinceEpoch epoch since which every owner has removed the [LeaseEndRecord] of a worker before it
 * granted a lease there; releases without such records do not write this field.
 * @property earlierLeasesEndMillis time on the store's steady clock after which no lease of an earlier epoch is valid;
 * null when not known.
 */
@Serializable
public data class OwnerRecord(
    val entryId: String,
    val epoch: Long,
    val sequence: Long,
    val pendingByQueue: Map<String, Int> = emptyMap(),
    val writtenUnixMillis: Long = 0,
    val keepsRoster: Boolean = false,
    val pressure: LoadPressure? = null,
    val pendingAgeMillis: Long? = null,
    val omitsPending: Boolean = false,
    val leaseEndsSinceEpoch: Long? = null,
    val earlierLeasesEndMillis: Long? = null,
)

/**
 * Figures that the owner publishes to all entries with each renewal of its lease.
 *
 * @property pendingByQueue number of accepted jobs without a started task, by queue.
 * @property pressure load pressure on the queues; null when not reported.
 * @property pendingAgeMillis time for which this owner had not read accepted jobs when it counted [pendingByQueue];
 * null when it has not counted.
 * @property omitsPending whether queues with pending jobs are left out of [pendingByQueue] for want of room.
 */
public data class OwnerFigures(
    val pendingByQueue: Map<String, Int> = emptyMap(),
    val pressure: LoadPressure? = null,
    val pendingAgeMillis: Long? = null,
    val omitsPending: Boolean = false,
)

/**
 * Worker that may hold runs. The record is stored before the first order is sent to the worker.
 *
 * @property serviceName pool of the worker.
 * @property host IP address.
 * @property port TCP port.
 * @property bornUnixMillis start time of its incarnation; 0 when not reported.
 * @property machineId machine on which it runs; empty when not reported.
 * @property queueNames queues whose tasks may have been sent to the worker.
 * @property leaseEnd end of the leases on a silent worker; null on others, and in records of releases that do not store
 * it.
 */
@Serializable
public data class RosterRecord(
    val serviceName: String,
    val host: String,
    val port: Int,
    val bornUnixMillis: Long,
    val machineId: String,
    val queueNames: Set<String>,
    val leaseEnd: LeaseEndRecord? = null,
)

/**
 * End of all leases on a silent worker. While it is stored, no owner grants a lease to the worker or orders a run there.
 *
 * @property epoch epoch of the owner that stored it.
 * @property storeMillis time on the store's steady clock after which no lease on the worker is valid.
 * @property ordersEndMillis time on the store's steady clock until which a later incarnation of the worker with the same
 * ID may carry out a start order and run its task; null if every start order was answered.
 */
@Serializable
public data class LeaseEndRecord(
    val epoch: Long,
    val storeMillis: Long,
    val ordersEndMillis: Long? = null,
)

/** Codec of stored records. */
@OptIn(ExperimentalSerializationApi::class)
public object RecordCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [value]. */
    public fun <T> encode(
        serializer: KSerializer<T>,
        value: T,
    ): ByteArray = cbor.encodeToByteArray(serializer, value)

    /** Decodes [bytes]; returns null when they are not a valid record of this type. */
    public fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T? =
        try {
            cbor.decodeFromByteArray(serializer, bytes)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        } catch (_: IndexOutOfBoundsException) {
            // The library adds lengths up to 2^31 - 1 to its place in the bytes.
            null
        }
}
