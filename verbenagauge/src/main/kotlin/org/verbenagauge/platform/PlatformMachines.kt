package org.verbenagauge.platform

import io.ktor.http.encodeURLParameter
import io.ktor.network.selector.SelectorManager
import kotlinx.serialization.KSerializer
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.fleet.WaveReports
import org.verbenagauge.entry.jobs.model.MaintenanceWave
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpOutcome
import org.verbenagauge.http.HttpPool

private const val OK = 200
private const val MALFORMED = 400
private const val CONFLICT = 409
private const val BUSY = 429
private const val UNAVAILABLE = 503
private const val TIMEOUT_MILLIS = 1_500L
private const val STATUS_TABLE = "status"

/** Start of the keys of waves, both in the operator's rows and in the rows that report them. */
internal const val WAVE_PREFIX = "wave/"

private const val MILLIS_PER_SECOND = 1_000

/** The platform's machines over HTTP. */
internal class PlatformMachines(
    private val entryId: String,
    selector: SelectorManager,
    address: HostPort,
    clock: Clock,
) : MachineGateway {
    private val pool = HttpPool(selector, address.host, address.port, clock)

    /** Closes connections that have been idle for a while. */
    fun closeIdleConnections() = pool.closeIdle()

    override suspend fun list(): List<Machine>? {
        val machines = ArrayList<Machine>()
        var token: String? = null
        do {
            val query = token?.let { "?PageToken=${it.encodeURLParameter()}" }.orEmpty()
            val outcome = pool.exchange(HttpCall("GET", "/v1/machines$query"), TIMEOUT_MILLIS)
            val page = (outcome as? HttpOutcome.Answered)?.let(::readMachinePage) ?: return null
            page.machines.mapTo(machines, ::machine)
            token = page.nextToken
        } while (!token.isNullOrEmpty())
        return machines
    }

    private fun machine(wire: WireMachine) =
        Machine(
            machineId = wire.machine,
            poolName = wire.pool,
            isUp = wire.state == "up",
            isInMaintenance = wire.state == "upkeep",
            isLost = wire.state == "down",
            kind = wire.labels.firstOrNull { !rackPattern.matches(it) }.orEmpty(),
            workerId = wire.id?.ifEmpty { null },
            zoneId = wire.zone,
        )

    override suspend fun maintain(
        machineId: String,
        wave: Long,
        fencingToken: Long,
    ): MachineOutcome = order("/v1/machine-upkeep", WireUpkeep.serializer(), WireUpkeep(machineId, wave), fencingToken)

    override suspend fun move(
        machineId: String,
        poolName: String,
        fencingToken: Long,
    ): MachineOutcome = order("/v1/machine-move", WireMove.serializer(), WireMove(machineId, poolName), fencingToken)

    private suspend fun <T> order(
        path: String,
        serializer: KSerializer<T>,
        wire: T,
        fencingToken: Long,
    ): MachineOutcome {
        val headers =
            listOf(
                "X-Verbenagauge-Lease-Holder" to entryId,
                "X-Verbenagauge-Fencing-Token" to fencingToken.toString(),
            )
        val body = wireJson.encodeToString(serializer, wire).encodeToByteArray()
        return when (val outcome = pool.exchange(HttpCall("POST", path, headers, body), TIMEOUT_MILLIS)) {
            is HttpOutcome.Answered -> readMachineAnswer(outcome)
            is HttpOutcome.NotSent -> MachineOutcome.TryLater
            is HttpOutcome.Unanswered -> MachineOutcome.Unanswered(outcome.cause)
        }
    }
}

/** Reads a page of the list of machines; null when it is none. */
internal fun readMachinePage(answer: HttpOutcome.Answered): WireMachines? =
    if (answer.status == OK) decode(WireMachines.serializer(), answer.body) else null

/** Reads the answer of the platform to an order on a machine; one that is not clear tells no more than none. */
internal fun readMachineAnswer(answer: HttpOutcome.Answered): MachineOutcome =
    when (answer.status) {
        OK -> MachineOutcome.Done
        CONFLICT -> refusal(decode(WireOrderAnswer.serializer(), answer.body)?.reason)
        MALFORMED -> MachineOutcome.Rejected("status $MALFORMED")
        BUSY, UNAVAILABLE -> MachineOutcome.TryLater
        else -> MachineOutcome.Unanswered("unclear answer, status ${answer.status}")
    }

private fun refusal(reason: String?): MachineOutcome =
    when (reason) {
        "fence" -> MachineOutcome.Fenced
        "busy" -> MachineOutcome.Busy
        "wave" -> MachineOutcome.Rejected(reason)
        else -> MachineOutcome.Unanswered("refused for an unknown reason: $reason")
    }

/** Reads a wave; null when [value] is none. */
internal fun readWave(value: ByteArray): MaintenanceWave? {
    val wire = decode(WireWave.serializer(), value) ?: return null
    val durationMillis = (wire.durationS * MILLIS_PER_SECOND).toLong()
    if (wire.wave !in exactNumbers || durationMillis !in exactNumbers) return null
    return MaintenanceWave(wire.wave, wire.machines, durationMillis, maxOf(1, wire.maxCount))
}

/** Shows states of waves in the rows that the operator reads. */
internal val platformWaveReports =
    WaveReports { wave, isCompleted ->
        val state = WireState(if (isCompleted) "completed" else "active")
        val value = wireJson.encodeToString(WireState.serializer(), state).encodeToByteArray()
        RowChange(RowPlace(STATUS_TABLE), "$WAVE_PREFIX${wave.number}", value)
    }
