package org.verbenagauge.entry.state.store

import kotlinx.serialization.Serializable

/**
 * One row of the table service.
 *
 * @property key key of the row.
 * @property value value, opaque to the service.
 * @property version version of the row; rises with every write, 0 for a row that does not exist.
 */
@Serializable
public data class Row(
    val key: String,
    val value: String,
    val version: Long,
)

/**
 * Condition of a [Transaction].
 *
 * @property key key of the row.
 * @property expectedVersion version that the row must have; 0 when it must not exist.
 */
@Serializable
public data class RowCondition(
    val key: String,
    val expectedVersion: Long,
)

/**
 * Write of a [Transaction].
 *
 * @property key key of the row.
 * @property value new value, or null to delete the row.
 */
@Serializable
public data class RowWrite(
    val key: String,
    val value: String?,
)

/**
 * Conditional transaction over several rows: all writes take effect, or none.
 *
 * @property operationId identifies the transaction when its answer is lost.
 * @property conditions conditions that must all hold.
 * @property writes writes.
 */
@Serializable
public data class Transaction(
    val operationId: String,
    val conditions: List<RowCondition>,
    val writes: List<RowWrite>,
)

/** Outcome of a read. */
public sealed interface ReadOutcome<out T> {
    /** The service answered with [value]. */
    public data class Found<T>(
        val value: T,
    ) : ReadOutcome<T>

    /** The service did not answer, for [cause]. */
    public data class Unavailable(
        val cause: String,
    ) : ReadOutcome<Nothing>
}

/** Outcome of a write. */
public sealed interface WriteOutcome {
    /** The write took effect. */
    public data object Applied : WriteOutcome

    /** A condition did not hold: the write did not and will not take effect. */
    public data class Conflict(
        val rows: List<Row>,
    ) : WriteOutcome

    /** The request did not reach the service, for [cause]: the write did not and will not take effect. */
    public data class Unavailable(
        val cause: String,
    ) : WriteOutcome

    /** The answer was lost, for [cause]: the write may take effect, now or later. */
    public data class Unknown(
        val cause: String,
    ) : WriteOutcome
}

/** Transactional table service of the platform. */
public interface TableService {
    /** Reads the rows of [keys]; a row that does not exist has version 0 and an empty value. */
    public suspend fun read(keys: List<String>): ReadOutcome<List<Row>>

    /** Reads up to [limit] rows whose keys start with [prefix] and come after [afterKey], in the order of keys. */
    public suspend fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
    ): ReadOutcome<List<Row>>

    /** Applies [transaction]. */
    public suspend fun transact(transaction: Transaction): WriteOutcome
}

/** Object store of the platform. */
public interface ObjectStore {
    /** Stores [content] under [name] unless the name is taken, which is a conflict. */
    public suspend fun putIfAbsent(
        name: String,
        content: ByteArray,
    ): WriteOutcome

    /** Reads the object [name]; null when it does not exist. */
    public suspend fun get(name: String): ReadOutcome<ByteArray?>

    /** Lists up to [limit] names that start with [prefix] and come after [afterName], in order. */
    public suspend fun list(
        prefix: String,
        afterName: String,
        limit: Int,
    ): ReadOutcome<List<String>>
}

/**
 * One instance as the lagging list of the platform shows it.
 *
 * @property id name of the instance.
 * @property host IP number.
 * @property port port of its endpoint.
 * @property zoneId availability zone.
 * @property rackId rack.
 * @property regionId region.
 * @property phase what the platform says of the instance.
 * @property bootCount times that the instance has booted.
 * @property runningCount requests that ran on it when it last reported its usage, or null when it does not report.
 */
@Serializable
public data class ListedInstance(
    val id: String,
    val host: String,
    val port: Int,
    val zoneId: String,
    val rackId: String,
    val regionId: String,
    val phase: InstancePhase,
    val bootCount: Long = 0,
    val runningCount: Int? = null,
)

/** What the platform says of an instance. */
@Serializable
public enum class InstancePhase {
    LIVE,
    LEAVING,
    REBOOTING,
    GONE,
}

/** Lagging list of instances of the platform, and the actions on them. */
public interface InstanceService {
    /** Lists all instances; the answer may be seconds old. */
    public suspend fun list(): ReadOutcome<List<ListedInstance>>

    /** Asks the platform for [action] on [instanceId]; safe to repeat with the same [operationId]. */
    public suspend fun act(
        instanceId: String,
        action: InstanceAction,
        operationId: String,
    ): WriteOutcome
}

/** Action on an instance. */
@Serializable
public enum class InstanceAction {
    DRAIN,
    REBOOT,
    UNDRAIN,
    CHECKPOINT,
    STOP_TASKS,
}

/**
 * Services of the platform.
 *
 * @property table transactional table service.
 * @property objects object store.
 * @property instances lagging list of instances.
 */
public class Platform(
    public val table: TableService,
    public val objects: ObjectStore,
    public val instances: InstanceService,
)
