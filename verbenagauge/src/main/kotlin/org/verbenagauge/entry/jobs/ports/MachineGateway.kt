package org.verbenagauge.entry.jobs.ports

/**
 * A machine of the platform.
 *
 * @property isUp whether it runs a worker.
 * @property isInMaintenance whether it is down for maintenance.
 * @property isLost whether it has failed.
 * @property kind machine type; a pool accepts machines of its own type only.
 * @property workerId worker that runs on it, or null.
 * @property zoneId availability zone; empty when not reported.
 */
public data class Machine(
    val machineId: String,
    val poolName: String,
    val isUp: Boolean,
    val isInMaintenance: Boolean,
    val isLost: Boolean,
    val kind: String,
    val workerId: String?,
    val zoneId: String = "",
)

/** Outcome of an order on a machine. */
public sealed interface MachineOutcome {
    /** The order is carried out, by this call or an earlier one. */
    public data object Done : MachineOutcome

    /** A higher fencing token has been used for the machine. */
    public data object Fenced : MachineOutcome

    /** The machine is not up, or is leaving. */
    public data object Busy : MachineOutcome

    /** The platform rejects the order, because of [cause]. */
    public data class Rejected(
        val cause: String,
    ) : MachineOutcome

    /** The platform temporarily refuses; nothing was done. */
    public data object TryLater : MachineOutcome

    /** No answer, because of [cause]: the order may be carried out, now or later. */
    public data class Unanswered(
        val cause: String,
    ) : MachineOutcome
}

/** Machines of the platform. */
public interface MachineGateway {
    /** Lists all machines; null when the list could not be read. */
    public suspend fun list(): List<Machine>?

    /** Takes [machineId] down for the maintenance wave [wave]. */
    public suspend fun maintain(
        machineId: String,
        wave: Long,
        fencingToken: Long,
    ): MachineOutcome

    /** Moves [machineId] to [poolName]. */
    public suspend fun move(
        machineId: String,
        poolName: String,
        fencingToken: Long,
    ): MachineOutcome
}

/** Service that knows which workers may run a step. */
public interface PlacementAdvisor {
    /** Returns tickets by worker for those of [workerIds] that may run [step]; null when there is no answer. */
    public suspend fun ticketsFor(
        step: String,
        workerIds: List<String>,
    ): Map<String, String>?
}
