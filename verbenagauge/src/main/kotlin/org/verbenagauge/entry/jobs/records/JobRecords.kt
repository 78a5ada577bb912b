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
 * An accepted job, as it is stored.
 *
 * @property queueName queue.
 * @property teamName team whose key came with it; empty on open queues.
 * @property acceptedUnixMillis when an entry took it in.
 * @property specification what was asked for.
 */
@Serializable
public data class JobRecord(
    val queueName: String,
    val teamName: String,
    val acceptedUnixMillis: Long,
    val specification: JobSpecification,
)

/**
 * Row in the place of a job that was refused: its id is taken, and nothing of it runs.
 *
 * @property refusals how often it was refused.
 */
@Serializable
public data class RefusalRecord(
    @SerialName("barred") val refusals: Int,
)

/**
 * How far a job is, as it is stored before workers may forget the ends.
 *
 * @property doneTasks local keys of tasks that are done.
 * @property failedRuns failed runs by local key of the task.
 * @property checkpoints newest saved state by local key of the task.
 */
@Serializable
public data class ProgressRecord(
    val doneTasks: List<String> = emptyList(),
    val failedRuns: Map<String, List<Long>> = emptyMap(),
    val checkpoints: Map<String, String> = emptyMap(),
)

/**
 * State of a job, as entries read it.
 *
 * @property queueName queue.
 * @property state state.
 * @property sinceUnixMillis when the state was reached.
 */
@Serializable
public data class StateRecord(
    val queueName: String,
    val state: JobState,
    val sinceUnixMillis: Long,
)

/**
 * Who decides on placement, and that it lives.
 *
 * @property entryId entry that decides; empty when the last one has given up its duty.
 * @property epoch rises with every change of the owner; the fencing token of its orders.
 * @property sequence rises with every write of the owner.
 * @property pendingByQueue accepted jobs of each queue without a started task.
 * @property writtenUnixMillis when the owner wrote this, by its time of day; 0 when not told.
 * @property keepsRoster whether every worker that may hold runs has a row; releases before the roster did not tell.
 * @property pressure how hard queues are pressed; null when it is not told.
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
)

/**
 * What the owner tells all entries with each renewal.
 *
 * @property pendingByQueue accepted jobs of each queue without a started task.
 * @property pressure how hard queues are pressed; null when it is not told.
 */
public data class OwnerFigures(
    val pendingByQueue: Map<String, Int> = emptyMap(),
    val pressure: LoadPressure? = null,
)

/**
 * A worker that may hold runs, stored before anything is ordered there.
 *
 * @property serviceName pool.
 * @property host IP number of its address.
 * @property port TCP port of its address.
 * @property bornUnixMillis start of its life; 0 when not told.
 * @property machineId machine on which it runs; empty when not told.
 * @property queueNames queues whose tasks may have been ordered there.
 */
@Serializable
public data class RosterRecord(
    val serviceName: String,
    val host: String,
    val port: Int,
    val bornUnixMillis: Long,
    val machineId: String,
    val queueNames: Set<String>,
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

    /** Decodes [bytes]; null when they are not a record of this kind. */
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
        }
}
