package org.verbenagauge.entry.jobs.ports

import org.verbenagauge.entry.jobs.model.TaskId

/**
 * Address of one incarnation of a worker.
 *
 * @property host IP address.
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
 * @property runId run id; increases with each run of a task.
 * @property payload text of the job, passed to the worker.
 * @property leaseUntilWorkerMillis end of the lease on the clock of the worker.
 * @property fencingToken token of the entry that decides on placement.
 * @property checkpoint saved state to resume from; empty for none.
 * @property ticket permission of the placement advisor; empty for none.
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

/** Why a worker refuses a start order; it has not begun the run. */
public enum class StartRefusal {
    /** The worker has received a higher fencing token. */
    FENCED,

    /** The run id is not higher than that of a run that was stopped or has ended on the worker. */
    OLD_RUN,

    /** The lease has expired on the clock of the worker. */
    LEASE_PASSED,

    /** The worker has not enough free capacity. */
    NO_ROOM,

    /** The ticket is not valid. */
    TICKET,

    /** The worker is not healthy. */
    UNHEALTHY,

    /** Another incarnation answers at the address. */
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

    /** Refused, because of [refusal]: not carried out by this call. */
    public data class Refused(
        val refusal: StartRefusal,
    ) : OrderOutcome

    /** No answer, because of [cause]: the order may be carried out, now or later. */
    public data class Unanswered(
        val cause: String,
    ) : OrderOutcome

    /** No connection, because of [cause]: the order was never sent. */
    public data class NotSent(
        val cause: String,
    ) : OrderOutcome

    /** The owner did not try to send the order, because of [cause]; says nothing about the worker. */
    public data class Withheld(
        val cause: String,
    ) : OrderOutcome
}

/** How a run ended. */
public enum class EndKind {
    /** The run completed its work. */
    DONE,

    /** The run failed, through a fault of the task or of the worker. */
    FAILED,

    /** The run was stopped by an order. */
    STOPPED,

    /** The lease expired. */
    LAPSED,

    /** Another member of the gang ended. */
    BROKEN,

    /** The other members of the gang did not start in time. */
    ALONE,
}

/**
 * A run in progress, as a worker lists it.
 *
 * @property checkpoint newest saved state.
 * @property percent progress of the work in percent; for a lasting task, 100 while it is at work.
 * @property figure load: the tail latency in milliseconds for a task that serves requests, else the processor use.
 */
public data class ListedRun(
    val taskId: TaskId,
    val runId: Long,
    val checkpoint: String,
    val percent: Int,
    val figure: Long,
)

/**
 * An ended run, as a worker lists it.
 *
 * @property number sequence number; increases with each ended run in one incarnation of the worker.
 * @property taskId task; null when its id cannot be parsed.
 * @property kind how the run ended.
 * @property checkpoint last saved state.
 */
public data class ListedEnd(
    val number: Long,
    val taskId: TaskId?,
    val runId: Long,
    val kind: EndKind,
    val checkpoint: String,
)

/**
 * Runs that a worker reports.
 *
 * @property bornUnixMillis start of this incarnation of the worker.
 * @property clockMillis clock of the worker.
 * @property running runs in progress.
 * @property ended ended runs that were not acknowledged.
 * @property hasAllEnds whether [ended] is complete; if not, a run that is missing from the listing may have ended.
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

    /** Refused, because of [refusal]. */
    public data class Refused(
        val refusal: StartRefusal,
    ) : ListingOutcome

    /** The answer cannot be parsed as a whole, because of [cause]: it says nothing about any run. */
    public data class Unreadable(
        val cause: String,
    ) : ListingOutcome

    /** No answer, because of [cause]. */
    public data class Failed(
        val cause: String,
    ) : ListingOutcome
}

/**
 * Renewal of the lease of all runs on a worker.
 *
 * @property leaseUntilWorkerMillis new end of the lease on the clock of the worker; null to leave it unchanged.
 * @property fencingToken token of the entry that decides on placement.
 * @property acknowledged the worker may discard ended runs up to this number, see [ListedEnd.number].
 * @property waitMillis how long the worker may delay its answer until a run ends, in milliseconds.
 */
public data class Renewal(
    val leaseUntilWorkerMillis: Long?,
    val fencingToken: Long,
    val acknowledged: Long,
    val waitMillis: Long,
)

/** Orders to workers. */
public interface WorkerGateway {
    /** Opens a dedicated connection for the listings of [address]. */
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

    /** Limits a run to [percentage] percent of its full speed. */
    public suspend fun pace(
        address: WorkerAddress,
        taskId: TaskId,
        runId: Long,
        percentage: Int,
        fencingToken: Long,
    ): OrderOutcome

    /** Closes the connections that orders to [address] have used; a later order opens a new one. */
    public fun disconnect(address: WorkerAddress)

    /** Closes connections that no order has used for a while. */
    public fun closeIdleConnections()
}

/** Listings of one worker over a dedicated connection. */
public interface WorkerListings {
    /** Whether the current connection has answered before; false after it was reopened. */
    public val isProven: Boolean

    /** Sends [renewal] and returns the listing that the worker answers with. */
    public suspend fun list(renewal: Renewal): ListingOutcome

    /** Closes the connection. */
    public fun close()
}
