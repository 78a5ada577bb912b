package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.AdviceConfiguration
import org.verbenagauge.entry.jobs.model.Amount
import org.verbenagauge.entry.jobs.model.JobSpecification
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.model.QueueConfiguration
import org.verbenagauge.entry.jobs.model.ServiceConfiguration
import org.verbenagauge.entry.jobs.model.StepSpecification
import org.verbenagauge.entry.jobs.model.TaskId
import org.verbenagauge.entry.jobs.model.TeamConfiguration
import org.verbenagauge.entry.jobs.ports.EndKind
import org.verbenagauge.entry.jobs.ports.ListedEnd
import org.verbenagauge.entry.jobs.ports.ListedRun
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.jobs.ports.ListingOutcome
import org.verbenagauge.entry.jobs.ports.WorkerAddress
import org.verbenagauge.entry.jobs.ports.WorkerListing
import org.verbenagauge.entry.jobs.records.JobRecord
import org.verbenagauge.entry.jobs.records.RosterRecord
import org.verbenagauge.entry.load.LoadSettings

internal const val QUEUE = "tallies"
internal const val SERVICE = "hall"
internal const val TEAM = "buyers"
internal const val BORN = 77L

internal fun step(
    taskCount: Int,
    cpuMillis: Long = 1_000,
    isLasting: Boolean = false,
    dependsOn: List<Int> = emptyList(),
    maxPerWorker: Int = 0,
    isGang: Boolean = false,
    mayMiss: Int? = null,
    mayRunCopies: Boolean = false,
) = StepSpecification(
    taskCount = taskCount,
    amount = Amount(cpuMillis = cpuMillis, memoryMegabytes = 10),
    estimatedMillis = 500,
    dependsOn = dependsOn,
    isLasting = isLasting,
    maxPerWorker = maxPerWorker,
    isGang = isGang,
    mayMiss = mayMiss,
    mayRunCopies = mayRunCopies,
)

internal fun job(vararg steps: StepSpecification) = JobRecord(QUEUE, TEAM, 0, JobSpecification("text", steps.toList()))

internal fun configuration(
    limit: Amount = Amount(),
    maxAttempts: Int = 3,
) = JobsConfiguration(
    version = 1,
    queues = listOf(QueueConfiguration(QUEUE, "host", "/q/", SERVICE, 0, maxAttempts, 2.0, 600, isOpen = false)),
    services = mapOf(SERVICE to ServiceConfiguration(SERVICE, enforcesCapacity = false, isStandby = false)),
    teams = mapOf(TEAM to TeamConfiguration(TEAM, emptySet(), 1.0, limit)),
    maxBodyBytes = 1_000,
)

/** Configuration with a higher version in which the queue requires advice. */
internal fun advisedConfiguration(): JobsConfiguration {
    val plain = configuration()
    val advised = plain.queues.map { it.copy(advice = AdviceConfiguration(1.0, 1.0, validityMillis = 5_000)) }
    return plain.copy(version = 2, queues = advised)
}

internal fun worker(
    id: String,
    cpuMillis: Long = 4_000,
) = ListedWorker(
    address = WorkerAddress(id, "127.0.0.1", 1),
    serviceName = SERVICE,
    zoneId = "z",
    rack = "r1-1",
    labels = setOf("a", "r1-1"),
    capacity = Amount(cpuMillis, 100_000),
    isReady = true,
    bornUnixMillis = BORN,
    machineId = id.replace('w', 'm'),
)

internal fun listing(
    running: List<ListedRun> = emptyList(),
    ended: List<ListedEnd> = emptyList(),
    clockMillis: Long = 1_000,
    bornUnixMillis: Long = BORN,
    hasAllEnds: Boolean = true,
) = ListingOutcome.Listed(WorkerListing(bornUnixMillis, clockMillis, running, ended, hasAllEnds))

internal fun running(
    taskId: TaskId,
    runId: Long,
    percent: Int = 10,
) = ListedRun(taskId, runId, "", percent, 0)

internal fun end(
    number: Long,
    taskId: TaskId,
    runId: Long,
    kind: EndKind,
) = ListedEnd(number, taskId, runId, kind, "")

internal fun List<EngineAction>.starts() = filterIsInstance<EngineAction.Start>()

internal fun List<EngineAction>.stops() = filterIsInstance<EngineAction.Stop>()

/** Engine whose workers [workerIds] are in the platform's list and have answered. */
internal fun readyEngine(
    vararg workerIds: String,
    limit: Amount = Amount(),
    epoch: Long = 1,
    copies: CopyPolicy = StragglerCopies(),
): JobEngine {
    val engine = JobEngine(epoch, EngineLimits(), now = 0, copies = copies)
    engine.configure(configuration(limit))
    engine.state.isWorkerListKnown = true
    workerIds.forEach {
        engine.addRecordedWorker(worker(it), now = 0)
        engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
    }
    return engine
}

/** Engine with shares of the accounts [teams], whose workers "w1" and "w2" have answered. */
internal fun engineWithShares(vararg teams: TeamConfiguration): JobEngine {
    val engine = JobEngine(1, EngineLimits(load = LoadSettings(accountShares = true)), now = 0)
    engine.configure(configuration().copy(teams = teams.associateBy { it.name }))
    engine.state.isWorkerListKnown = true
    listOf("w1", "w2").forEach {
        engine.addRecordedWorker(worker(it), now = 0)
        engine.handleListing(it, listing(), sentAtMillis = 0, now = 0)
    }
    return engine
}

/** Adds [worker] as listed by the platform and stores in the roster that it may hold runs. */
internal fun JobEngine.addRecordedWorker(
    worker: ListedWorker,
    now: Long,
) {
    upsertWorker(worker, now)
    storeRoster()
}

/** Adds [worker] together with the row that an earlier owner stored before its first order there. */
internal fun JobEngine.addInheritedWorker(
    worker: ListedWorker,
    now: Long,
) {
    val record =
        RosterRecord(
            serviceName = worker.serviceName,
            host = worker.address.host,
            port = worker.address.port,
            bornUnixMillis = worker.bornUnixMillis,
            machineId = worker.machineId,
            queueNames = setOf(QUEUE),
        )
    restoreWorker(worker.address.workerId, record, now)
    addRecordedWorker(worker, now)
}

/** Stores the pending roster changes, as the owner does before it orders a run on a worker. */
internal fun JobEngine.storeRoster() {
    state.roster.confirmStored(state.roster.takeChanges(Int.MAX_VALUE))
}
