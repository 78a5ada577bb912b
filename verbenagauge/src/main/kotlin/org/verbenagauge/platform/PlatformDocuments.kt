package org.verbenagauge.platform

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import org.verbenagauge.entry.jobs.model.AdviceConfiguration
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.model.sha256Hex

private const val READY = "ready"
private const val DRAINING = "draining"

// Racks are told among the labels of a worker, in the form r1-3.
internal val rackPattern = Regex("r\\d+-\\d+")

/** Numbers that every reader of JSON keeps exact, RFC 8259, from 0. */
internal val exactNumbers = 0L..9_007_199_254_740_991

/**
 * Amounts that a worker may report. The highest is beyond every machine, and sums over a fleet and products with times
 * stay within 64 bits.
 */
internal val amounts = 0L..Int.MAX_VALUE

/** Reads the operator's configuration; null when [value] is none. */
internal fun readConfiguration(value: ByteArray): JobsConfiguration? {
    val wire = decode(WireConfig.serializer(), value) ?: return null
    return JobsConfiguration(
        version = wire.version,
        queues = wire.routes.map(::queue),
        services =
            wire.services.associate {
                it.name to
                    ServiceConfiguration(
                        it.name,
                        it.enforcesCapacity,
                        it.standby,
                        it.connectionLimit,
                    )
            },
        teams = wire.tenants.associate { it.name to team(it) },
        maxBodyBytes = wire.limits.maxBodyBytes,
    )
}

private fun queue(route: WireRoute) =
    QueueConfiguration(
        name = route.name,
        host = route.host,
        pathPrefix = route.pathPrefix,
        serviceName = route.service,
        priority = route.priority,
        maxAttempts = route.maxAttempts,
        slackFactor = route.slackFactor,
        objectiveMillis = route.completionTargetMs,
        isOpen = route.anonymous,
        advice = route.advisor?.let { AdviceConfiguration(it.decisionMs, it.perWorkerMs, it.validityMs) },
    )

private fun team(tenant: WireTenant) =
    TeamConfiguration(
        name = tenant.name,
        keyHashes = tenant.apiKeys.mapTo(HashSet(), ::sha256Hex),
        weight = tenant.weight,
        limit = amount(tenant.maxCount),
    )

private fun amount(wire: WireAmount) = Amount(wire.cpu, wire.memMb, wire.gpu)

/** Reads a job as callers send it; null when [body] is none. */
internal fun readJob(body: ByteArray): JobSpecification? {
    if (!isUtf8(body)) return null
    val wire = decode(WireJob.serializer(), body) ?: return null
    if (wire.steps.isEmpty() || wire.steps.any { it.count < 1 }) return null
    return JobSpecification(
        payload = wire.specification,
        steps = wire.steps.map(::step),
        repetitions = wire.repetitions,
        firstRunUnixMillis = wire.firstRunMs,
        intervalMillis = wire.intervalMs,
    )
}

// Read leniently, the tasks would get another specification than the caller has sent.
private fun isUtf8(bytes: ByteArray): Boolean =
    try {
        bytes.decodeToString(throwOnInvalidSequence = true)
        true
    } catch (_: CharacterCodingException) {
        false
    }

private fun step(wire: WireStep) =
    StepSpecification(
        taskCount = wire.count,
        amount = Amount(wire.cpu, wire.memMb, wire.gpu),
        estimatedMillis = wire.estimatedMs,
        dependsOn = wire.dependencies,
        isCheckpointing = wire.checkpointing,
        isGang = wire.gangScheduled,
        prefersOneRack = wire.sameRack,
        requiredLabel = label(wire.requirements),
        dataRack = wire.affinity,
        maxPerWorker = wire.antiAffinity,
        mayRunCopies = wire.speculative,
        isLasting = wire.longRunning,
        image = wire.image,
        latencyTargetMillis = wire.targetMs.toLong(),
        isFiller = isSet(wire.fillCount),
        mayMiss = wire.missAllowed ?: if (wire.longRunning) 0 else null,
    )

private fun label(element: JsonElement?): String =
    when (element) {
        is JsonPrimitive -> element.content
        is JsonArray -> (element.firstOrNull() as? JsonPrimitive)?.content.orEmpty()
        else -> ""
    }

private fun isSet(element: JsonElement?): Boolean {
    val primitive = element as? JsonPrimitive ?: return false
    return primitive.booleanOrNull ?: ((primitive.doubleOrNull ?: 0.0) > 0.0)
}

/** Reads a worker's entry in the list; null when [value] names no worker to use. */
internal fun readWorker(
    workerId: String,
    value: ByteArray,
): ListedWorker? {
    val wire = decode(WireServer.serializer(), value) ?: return null
    if (wire.state != READY && wire.state != DRAINING) return null
    val address = parseHostPort(wire.address)?.takeIf { it.port > 0 } ?: return null
    val coldMillis = wire.coldRemainingMs.toLong()
    val isPossible = isPossible(wire.capacity) && coldMillis in amounts && wire.born in exactNumbers
    if (!isPossible) return null
    return ListedWorker(
        address = WorkerAddress(workerId, address.host, address.port),
        serviceName = wire.service,
        zoneId = wire.zone,
        rack = wire.labels.firstOrNull { rackPattern.matches(it) }.orEmpty(),
        labels = wire.labels.toSet(),
        capacity = amount(wire.capacity),
        isReady = wire.state == READY,
        bornUnixMillis = wire.born,
        machineId = wire.machine,
        coldMillis = coldMillis,
    )
}

private fun isPossible(amount: WireAmount) = amount.cpu in amounts && amount.memMb in amounts && amount.gpu in amounts
