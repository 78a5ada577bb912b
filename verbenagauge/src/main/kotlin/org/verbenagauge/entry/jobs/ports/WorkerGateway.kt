package org.verbenagauge.entry.jobs.ports

import org.verbenagauge.entry.jobs.model.TaskId

/**
 * Address of one life of a worker.
 *
 * @property workerId identity of the worker.
 * @property host IP number.
 * @property port TCP port.
 */
public data class WorkerAddress(
    val workerId: String,
    val host: String,
    val port: Int,
)

/**
 * Order to start a run.
 *
 * @property taskId task.
 * @property runId run; rises for each task.
 * @property payload text of the job.
 * @property leaseUntilWorkerMillis end of the lease on the clock of the worker.
 * @property fencingToken token of the deciding entry.
 * @property checkpoint saved state to go on from; empty for none.
 * @property ticket permission of the advisor; empty for none.
 */
public data class StartOrder(
    val taskId: TaskId,
    val runId: Long,
    val payload: String,
    val leaseUntilWorkerMillis: Long,
    val fencingToken: Long,
    val checkpoint: String,
    val ticket: String,
)

/** Why a worker refuses a start; it has not begun the run. */
public enum class StartRefusal {
    /** A higher fencing token was seen. */
    FENCED,

    /** The run is not higher than one that was stopped or has ended there. */
    OLD_RUN,

    /** The lease has passed on the clock of the worker. */
    LEASE_PASSED,

    /** No room. */
    NO_ROOM,

    /** The ticket is not valid. */
    TICKET,

    /** The worker is not healthy. */
    UNHEALTHY,

    /** Another life answers at the address. */
    OTHER_LIFE,

    /** The order is malformed. */
    MALFORMED,
}

/** Outcome of an order. */
public sealed interface OrderOutcome {
    /** Carried out; [clockMillis] is the clock of the worker. */
    public data class Done(
        val clockMillis: Long,
    ) : OrderOutcome

    /** Refused for [refusal]: not carried out by this call. */
    public data class Refused(
        val refusal: StartRefusal,
    ) : OrderOutcome

    /** No answer, for [cause]: it may be carried out, now or later. */
    public data class Unanswered(
        val cause: String,
    ) : OrderOutcome

    /** No connection, for [cause]: never sent. */
    public data class NotSent(
        val cause: String,
    ) : OrderOutcome
}

/** How a run ended. */
public enum class EndKind {
    /** The work is done. */
    DONE,

    /** Failed, through its own fault or that of the worker. */
    FAILED,

    /** Stopped by order. */
    STOPPED,

    /** The lease passed. */
    LAPSED,

    /** Another member of the gang ended. */
    BROKEN,

    /** The other members of the gang did not come in time. */
    ALONE,
}

/**
 * A run that a worker lists.
 *
 * @property taskId task.
 * @property runId run.
 * @property checkpoint newest saved state.
 * @property percent progress of the work; of a lasting task, whether it is at work (100).
 * @property figure tail of the response times in milliseconds for a task that serves, else the processor in use.
 */
public data class ListedRun(
    val taskId: TaskId,
    val runId: Long,
    val checkpoint: String,
    val percent: Int,
    val figure: Long,
)

/**
 * An end that a worker lists.
 *
 * @property number rises with each end in one life of the worker.
 * @property taskId task; null when its name cannot be read.
 * @property runId run.
 * @property kind how it ended.
 * @property checkpoint saved state.
 */
public data class ListedEnd(
    val number: Long,
    val taskId: TaskId?,
    val runId: Long,
    val kind: EndKind,
    val checkpoint: String,
)

/**
 * What a worker says of its runs.
 *
 * @property bornUnixMillis start of this life of the worker.
 * @property clockMillis clock of the worker.
 * @property running runs.
 * @property ended ends that were not acknowledged.
 * @property hasAllEnds whether [ended] holds all of them; what is missing from a listing without all ends may have ended.
 */
public data class WorkerListing(
    val bornUnixMillis: Long,
    val clockMillis: Long,
    val running: List<ListedRun>,
    val ended: List<ListedEnd>,
    val hasAllEnds: Boolean = true,
)

/** Outcome of renewing the lease of a worker's runs and listing them. */
public sealed interface ListingOutcome {
    /** The worker answered. */
    public data class Listed(
        val listing: WorkerListing,
    ) : ListingOutcome

    /** Refused for [refusal]. */
    public data class Refused(
        val refusal: StartRefusal,
    ) : ListingOutcome

    /** An answer that cannot be read as a whole, for [cause]: it tells nothing of any run. */
    public data class Unreadable(
        val cause: String,
    ) : ListingOutcome

    /** No answer, for [cause]. */
    public data class Failed(
        val cause: String,
    ) : ListingOutcome
}

/**
 * Renewal of the lease of all runs on a worker.
 *
 * @property leaseUntilWorkerMillis new end on the clock of the worker; null to leave it.
 * @property fencingToken token of the deciding entry.
 * @property acknowledged ends up to this number may be forgotten.
 * @property waitMillis how long the worker may wait for an end.
 */
public data class Renewal(
    val leaseUntilWorkerMillis: Long?,
    val fencingToken: Long,
    val acknowledged: Long,
    val waitMillis: Long,
)

/** Orders to workers. */
public interface WorkerGateway {
    /** Opens a connection of its own for listings of [address]. */
    public fun listings(address: WorkerAddress): WorkerListings

    /** Sends [order] to [address]. */
    public suspend fun start(
        address: WorkerAddress,
        order: StartOrder,
    ): OrderOutcome

    /** Orders [address] to stop a run. */
    public suspend fun stop(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        fencingToken: Long,
    ): OrderOutcome

    /** Lets a run work at [percentage] of its speed. */
    public suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome
}

/** Listings of one worker over one connection. */
public interface WorkerListings {
    /** Whether the connection has answered before; false after it was opened anew. */
    public val isProven: Boolean

    /** Sends [renewal]. */
    public suspend fun list(renewal: Renewal): ListingOutcome

    /** Closes the connection. */
    public fun close()
}
