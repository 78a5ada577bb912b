package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.load.runTimes

/** Mutable state that the components of the [JobEngine] share. */
internal class EngineState(
    val epoch: Long,
    val limits: EngineLimits,
    val startedAtMillis: Long,
) {
    val jobs = HashMap<String, JobEntry>()
    private val workerById = HashMap<String, WorkerEntry>()
    private val workersByService = HashMap<String, LinkedHashSet<WorkerEntry>>()
    private val workersByMachine = HashMap<String, LinkedHashSet<WorkerEntry>>()

    /** Known workers by ID; modified by [add], [relist] and [remove]. */
    val workers: Map<String, WorkerEntry> get() = workerById
    val pending = PendingJobs()
    val pressure = PressureMeter(this)
    val runsOfUnreadJobs = RunsOfUnreadJobs()
    val roster = WorkerRoster()
    val quota = QuotaLedger()
    val evacuatedZones = EvacuatedZones()
    val endsOfUnreadJobs = EndsOfUnreadJobs()

    /** Time before which every accepted job has been read. */
    var jobsReadAsOfMillis = startedAtMillis

    /** Time of the last answer to the reading of accepted jobs. */
    var jobsHeardAtMillis = startedAtMillis
    val runTimes: RunTimes = runTimes(limits.load)

    /** Room that tasks wait for, and nothing else, by service, as of the last scheduling. */
    val missingRoomByService = HashMap<String, MissingCapacity>()

    /**
     * Room of the tasks that wait until the runs of earlier owners are known, by service, as of the last scheduling.
     * Their pools are not full, so it does not count as missing.
     */
    val unsettledRoomByService = HashMap<String, MissingCapacity>()

    /**
     * Workers whose machine was shut down, with the start time of that incarnation (null if unknown), until the
     * platform no longer lists them.
     */
    val endedWorkers = HashMap<String, Long?>()

    /** Workers of [serviceName]. */
    fun workersOf(serviceName: String): Collection<WorkerEntry> = workersByService[serviceName].orEmpty()

    /** Workers that run on [machineId] according to the platform's list. */
    fun workersOn(machineId: String): Collection<WorkerEntry> = workersByMachine[machineId].orEmpty()

    /** Adds [worker] to all indexes. */
    fun add(worker: WorkerEntry) {
        workerById[worker.id] = worker
        workersByService.getOrPut(worker.listed.serviceName) { LinkedHashSet() } += worker
        workersByMachine.getOrPut(worker.listed.machineId) { LinkedHashSet() } += worker
    }

    /** Replaces the list entry of [worker] with [listed] and updates the indexes. */
    fun relist(
        worker: WorkerEntry,
        listed: ListedWorker,
    ) {
        remove(worker)
        worker.updateListed(listed)
        add(worker)
    }

    /** Removes [worker] from all indexes. */
    fun remove(worker: WorkerEntry) {
        workerById.remove(worker.id)
        workersByService[worker.listed.serviceName]?.remove(worker)
        workersByMachine[worker.listed.machineId]?.remove(worker)
    }

    /**
     * Whether [listed] is an incarnation whose machine was shut down. If the start time of that incarnation was
     * unknown, this holds for every incarnation with the same ID.
     */
    fun isEndedIncarnation(listed: ListedWorker): Boolean {
        val workerId = listed.address.workerId
        if (workerId !in endedWorkers) return false
        val endedUnixMillis = endedWorkers[workerId]
        return endedUnixMillis == null || endedUnixMillis == listed.bornUnixMillis
    }

    var configuration: JobsConfiguration? = null

    val storeClock = StoreClock()

    /** Epoch since which every owner has removed the recorded end of leases before it granted any. */
    var leaseEndsSinceEpoch = epoch

    /** Time on the store's clock after which no lease of an earlier epoch is valid; null when not known. */
    var earlierLeasesEndMillis: Long? = null

    /** Whether the platform's list of workers was read in this epoch. */
    var isWorkerListKnown = false

    /** Whether the stored roster of workers was read completely. */
    var isRosterKnown = true

    /** Whether every worker that may hold runs is known. */
    val areWorkersKnown: Boolean get() = isWorkerListKnown && isRosterKnown
    private val actions = ArrayList<EngineAction>()
    private val changes = LinkedHashMap<String, JobChange?>()
    private val finalChanges = HashMap<String, JobChange>()
    private var runCounter = 0L

    // Ended jobs whose rows have not been removed yet.
    private val endedIds = HashSet<String>()

    fun emit(action: EngineAction) {
        actions += action
    }

    fun note(
        kind: NoteKind,
        subject: String,
        detail: String,
    ) {
        actions += EngineAction.Note(EngineNote(kind, subject, detail))
    }

    fun takeActions(): List<EngineAction> {
        if (actions.isEmpty()) return emptyList()
        return ArrayList(actions).also { actions.clear() }
    }

    /** Returns a new run number, higher than all run numbers of earlier epochs. */
    fun nextRunId(): Long = epoch * MAX_RUNS_PER_EPOCH + ++runCounter

    /** Marks the progress of [job] as to be stored. */
    fun markChanged(job: JobEntry) {
        if (job.id !in finalChanges) changes.putIfAbsent(job.id, null)
    }

    /** Marks [job] as ended; its final state is stored instead of its progress. */
    fun markEnded(job: JobEntry) {
        val change = JobChange(job.id, job.queue.name, job.state, progress = null, job.numbers)
        finalChanges[job.id] = change
        rememberEnd(job.id)
        changes[job.id] = change
    }

    /** Records that the job [id] has ended, in this or an earlier epoch. */
    fun rememberEnd(id: String) {
        endedIds += id
        earlyCancellations -= id
    }

    /** Discards the record that the job [id] has ended; its row is gone, so the job cannot be read again. */
    fun forgetEnd(id: String) {
        endedIds -= id
    }

    /** IDs of jobs whose cancellation was read before the job itself, oldest first. */
    val earlyCancellations = LinkedHashSet<String>()

    /** Records the cancellation of the job [id], which has not been read yet. */
    fun rememberEarlyCancellation(id: String) {
        if (hasEnded(id)) return
        earlyCancellations += id
        if (earlyCancellations.size > MAX_EARLY_CANCELLATIONS) earlyCancellations.remove(earlyCancellations.first())
    }

    /** Discards the cancellation of the job [id], whose row is gone. */
    fun forgetEarlyCancellation(id: String) {
        earlyCancellations -= id
    }

    /** Whether the job [id] may have been accepted but has not been read yet. */
    fun isUnreadJob(id: String): Boolean = id !in jobs && !hasEnded(id)

    /** Whether the job [id] is known to have ended. */
    fun hasEnded(id: String): Boolean = id in endedIds

    val hasChanges: Boolean get() = changes.isNotEmpty()

    /** Removes and returns up to [maxCount] changes to store, oldest first. */
    fun takeChanges(maxCount: Int): List<JobChange> {
        val ids = changes.keys.take(maxCount)
        return ids.mapNotNull { id ->
            val ending = changes.remove(id)
            finalChanges.remove(id)
            ending ?: jobs[id]?.let { JobChange(it.id, it.queue.name, it.state, it.progress(), it.numbers) }
        }
    }

    private companion object {
        // A run number must fit into 53 bits, so that every JSON reader keeps it exact.
        const val MAX_RUNS_PER_EPOCH = 10_000_000L

        // More than the cancellations that entries may store before their jobs.
        const val MAX_EARLY_CANCELLATIONS = 50_000
    }
}
