package org.verbenagauge.platform

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement

/** JSON of the platform: unknown fields are left out, empty ones are not written. */
public val wireJson: Json =
    Json {
        ignoreUnknownKeys = true
        explicitNulls = false
        encodeDefaults = false
    }

/** Room of a worker, what a task takes, or a limit. */
@Serializable
public data class WireAmount(
    @SerialName("Cpu") val cpu: Long = 0,
    @SerialName("MemMb") val memMb: Long = 0,
    @SerialName("Gpu") val gpu: Long = 0,
)

/** The operator's configuration. */
@Serializable
public data class WireConfig(
    @SerialName("Version") val version: Long,
    @SerialName("Routes") val routes: List<WireRoute> = emptyList(),
    @SerialName("Services") val services: List<WireService> = emptyList(),
    @SerialName("Tenants") val tenants: List<WireTenant> = emptyList(),
    @SerialName("Limits") val limits: WireLimits = WireLimits(),
)

/** A queue. */
@Serializable
public data class WireRoute(
    @SerialName("Name") val name: String,
    @SerialName("Host") val host: String,
    @SerialName("PathPrefix") val pathPrefix: String,
    @SerialName("Service") val service: String,
    @SerialName("Priority") val priority: Int = 0,
    @SerialName("MaxAttempts") val maxAttempts: Int = 1,
    @SerialName("SlackFactor") val slackFactor: Double = 1.0,
    @SerialName("CompletionTargetMs") val completionTargetMs: Long = 0,
    @SerialName("Anonymous") val anonymous: Boolean = false,
    @SerialName("Advisor") val advisor: WireAdvice? = null,
)

/** Costs of advice on placement. */
@Serializable
public data class WireAdvice(
    @SerialName("DecisionMs") val decisionMs: Double = 0.0,
    @SerialName("PerWorkerMs") val perWorkerMs: Double = 0.0,
    @SerialName("ValidityMs") val validityMs: Long = 0,
)

/** A service: a pool of workers. */
@Serializable
public data class WireService(
    @SerialName("Name") val name: String,
    @SerialName("EnforcesCapacity") val enforcesCapacity: Boolean = false,
    @SerialName("Standby") val standby: Boolean = false,
    // Connections that each of its workers accepts from all callers together.
    @SerialName("ConnectionLimit") val connectionLimit: Long = 0,
)

/** A tenant. */
@Serializable
public data class WireTenant(
    @SerialName("Name") val name: String,
    @SerialName("ApiKeys") val apiKeys: List<String> = emptyList(),
    @SerialName("Weight") val weight: Double = 0.0,
    // Most that the tenant may have running.
    @SerialName("MaxCount") val maxCount: WireAmount = WireAmount(),
)

/** Limits on calls. */
@Serializable
public data class WireLimits(
    @SerialName("MaxBodyBytes") val maxBodyBytes: Long = 262_144,
)

/** A job as clients send it. */
@Serializable
public data class WireJob(
    @SerialName("Specification") val specification: String = "",
    @SerialName("Steps") val steps: List<WireStep> = emptyList(),
    @SerialName("Repetitions") val repetitions: Int = 0,
    @SerialName("FirstRunMs") val firstRunMs: Long = 0,
    @SerialName("IntervalMs") val intervalMs: Long = 0,
)

/** A step of a job. */
@Serializable
public data class WireStep(
    @SerialName("Count") val count: Int = 0,
    @SerialName("Cpu") val cpu: Long = 0,
    @SerialName("MemMb") val memMb: Long = 0,
    @SerialName("Gpu") val gpu: Long = 0,
    @SerialName("EstimatedMs") val estimatedMs: Long = 0,
    // Numbers of earlier steps; elsewhere the same name holds a version or a name to continue from.
    @SerialName("Dependencies") val dependencies: List<Int> = emptyList(),
    @SerialName("Checkpointing") val checkpointing: Boolean = false,
    @SerialName("GangScheduled") val gangScheduled: Boolean = false,
    @SerialName("SameRack") val sameRack: Boolean = false,
    @SerialName("Requirements") val requirements: JsonElement? = null,
    @SerialName("Affinity") val affinity: String = "",
    @SerialName("AntiAffinity") val antiAffinity: Int = 0,
    @SerialName("Speculative") val speculative: Boolean = false,
    @SerialName("LongRunning") val longRunning: Boolean = false,
    @SerialName("Image") val image: String = "",
    @SerialName("TargetMs") val targetMs: Double = 0.0,
    // A flag, despite its name: the step runs on what others leave unused.
    @SerialName("FillCount") val fillCount: JsonElement? = null,
    @SerialName("MissAllowed") val missAllowed: Int? = null,
)

/** A worker's entry in the list. */
@Serializable
public data class WireServer(
    @SerialName("Service") val service: String,
    @SerialName("Address") val address: String,
    @SerialName("Zone") val zone: String = "",
    @SerialName("State") val state: String,
    @SerialName("Capacity") val capacity: WireAmount = WireAmount(),
    @SerialName("Labels") val labels: List<String> = emptyList(),
    @SerialName("Machine") val machine: String = "",
    @SerialName("ColdRemainingMs") val coldRemainingMs: Double = 0.0,
    val born: Long = 0,
)

/** A row of the store. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public data class WireRow(
    @SerialName("Table") val table: String,
    @EncodeDefault val part: String = "",
    @SerialName("Key") val key: String,
    @SerialName("Value") val value: String? = null,
    @SerialName("RowVersion") val rowVersion: Long? = null,
    @SerialName("Deleted") val deleted: Boolean = false,
)

/** A transaction. */
@Serializable
public data class WireTransaction(
    // Rows with the version that each must have, despite its name.
    @SerialName("ExpectedRevision") val expected: List<WireRow>,
    @SerialName("Write") val write: List<WireRow>,
    @SerialName("Remove") val remove: List<WireRow>,
)

/** An answer about rows. */
@Serializable
public data class WireRows(
    // Without defaults: an answer that lacks them is no empty table.
    val rows: List<WireRow>,
    @SerialName("HasMore") val hasMore: Boolean = false,
    @SerialName("RowVersion") val rowVersion: Long,
    @SerialName("CurrentTimeMs") val currentTimeMs: Long = 0,
)

@Serializable
internal data class WireApplied(
    @SerialName("RowVersion") val rowVersion: Long,
    // Of any type: whether the changes took effect does not depend on it.
    @SerialName("CurrentTimeMs") val currentTimeMs: JsonElement? = null,
)

@Serializable
internal data class WireConflict(
    val rows: List<WireRow>,
)

/** Order to start a run. */
@Serializable
public data class WireStart(
    @SerialName("Task") val task: String,
    @SerialName("RunId") val runId: Long,
    @SerialName("Specification") val specification: String,
    @SerialName("DeadlineMs") val deadlineMs: Long,
    @SerialName("FencingToken") val fencingToken: Long,
    @SerialName("Checkpoint") val checkpoint: String? = null,
    @SerialName("Ticket") val ticket: String? = null,
)

/** Order to stop a run. */
@Serializable
public data class WireStop(
    @SerialName("Task") val task: String,
    @SerialName("RunId") val runId: Long,
    @SerialName("FencingToken") val fencingToken: Long,
)

/** Order to pace a run. */
@Serializable
public data class WirePace(
    @SerialName("Task") val task: String,
    @SerialName("RunId") val runId: Long,
    @SerialName("Percentage") val percentage: Int,
    @SerialName("FencingToken") val fencingToken: Long,
)

/** Renewal of the leases on a worker, and question for its runs. */
@Serializable
public data class WireHold(
    @SerialName("FencingToken") val fencingToken: Long,
    @SerialName("AckCursor") val ackCursor: Long,
    @SerialName("DeadlineMs") val deadlineMs: Long? = null,
    @SerialName("WaitMs") val waitMs: Long? = null,
)

/** What a worker lists. */
@Serializable
public data class WireHeld(
    // Without defaults: an answer that lacks one of them says nothing of any run.
    @SerialName("ClockMs") val clockMs: Long,
    val born: Long,
    @SerialName("Running") val running: List<JsonArray>,
    @SerialName("Finished") val finished: List<JsonArray>,
)

/** Answer to an order. */
@Serializable
public data class WireOrderAnswer(
    @SerialName("ClockMs") val clockMs: Long? = null,
    @SerialName("Reason") val reason: String = "",
)

@Serializable
internal data class WireMachines(
    // Without a default, as the state of a machine: an answer that lacks them names no machine that is gone.
    @SerialName("Machines") val machines: List<WireMachine>,
    @SerialName("NextToken") val nextToken: String? = null,
)

@Serializable
internal data class WireMachine(
    @SerialName("Machine") val machine: String,
    @SerialName("Pool") val pool: String = "",
    @SerialName("State") val state: String,
    @SerialName("Zone") val zone: String = "",
    @SerialName("Labels") val labels: List<String> = emptyList(),
    @SerialName("Id") val id: String? = null,
)

@Serializable
internal data class WireUpkeep(
    @SerialName("Machine") val machine: String,
    @SerialName("Wave") val wave: Long,
)

@Serializable
internal data class WireMove(
    @SerialName("Machine") val machine: String,
    @SerialName("Pool") val pool: String,
)

@Serializable
internal data class WireWave(
    @SerialName("Wave") val wave: Long,
    // Without a default: a row that lacks them is no wave of no machines.
    @SerialName("Machines") val machines: List<String>,
    @SerialName("DurationS") val durationS: Double = 0.0,
    // Most machines that may be down at once.
    @SerialName("MaxCount") val maxCount: Int = 1,
)

/** State of a job. */
@Serializable
public data class WireState(
    @SerialName("State") val state: String,
)

@Serializable
internal data class WireAdviseCall(
    @SerialName("Step") val step: String,
    @SerialName("Workers") val workers: List<String>,
)

@Serializable
internal data class WireAdviseAnswer(
    @SerialName("Allowed") val allowed: List<JsonArray> = emptyList(),
    @SerialName("ValidityMs") val validityMs: Long = 0,
)

@Serializable
internal data class WirePending(
    @SerialName("Pending") val pending: Int,
)

@Serializable
internal data class WireProblem(
    @SerialName("Problem") val problem: String,
)
