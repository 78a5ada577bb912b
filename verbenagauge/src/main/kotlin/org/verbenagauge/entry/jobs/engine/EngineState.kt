package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.ports.ListedWorker
import org.verbenagauge.entry.load.runTimes

/** Everything that the parts of the engine share. */
internal class EngineState(
    val epoch: Long,
    val limits: EngineLimits,
    val startedAtMillis: Long,
) {
    val jobs = HashMap<String, JobEntry>()
    private val workerById = HashMap<String, WorkerEntry>()
    private val workersByService = HashMap<String, LinkedHashSet<WorkerEntry>>()
    private val workersByMachine = HashMap<String, LinkedHashSet<WorkerEntry>>()

    /** Workers by id; changed by [add], [relist] and [remove]. */
    val workers: Map<String, WorkerEntry> get() = workerById
    val pending = PendingJobs()
    val pressure = PressureMeter(this)
    val runsOfUnreadJobs = RunsOfUnreadJobs()
    val roster = WorkerRoster()
    val quota = QuotaLedger()
    val evacuated = EvacuatedZones()
    val endsOfUnreadJobs = EndsOfUnreadJobs()

    /** Every job that was accepted before this time has been read. */
    var workReadAsOfMillis = startedAtMillis
    val runTimes: RunTimes = runTimes(limits.load)

    /** What waits for room on workers of each service and for nothing else, as of the last decision. */
    val wantedByService = HashMap<String, MissingCapacity>()

    /** Workers whose machine was taken down, with the start of that life, until the platform's list drops them. */
    val endedWorkers = HashMap<String, Long?>()

    /** Workers of [serviceName]. */
    fun workersOf(serviceName: String): Collection<WorkerEntry> = workersByService[serviceName].orEmpty()

    /** Workers of which the list said that they run on [machineId]. */
    fun workersOn(machineId: String): Collection<WorkerEntry> = workersByMachine[machineId].orEmpty()

    /** Takes in [worker]. */
    fun add(worker: WorkerEntry) {
        workerById[worker.id] = worker
        workersByService.getOrPut(worker.listed.serviceName) { LinkedHashSet() } += worker
        workersByMachine.getOrPut(worker.listed.machineId) { LinkedHashSet() } += worker
    }

    /** Takes in what the platform's list says of [worker] now. */
    fun relist(
        worker: WorkerEntry,
        listed: ListedWorker,
    ) {
        remove(worker)
        worker.updateListed(listed)
        add(worker)
    }

    /** Takes [worker] out. */
    fun remove(worker: WorkerEntry) {
        workerById.remove(worker.id)
        workersByService[worker.listed.serviceName]?.remove(worker)
        workersByMachine[worker.listed.machineId]?.remove(worker)
    }

    /** Whether [listed] is a life that ended with its machine; when its start was not known, each life under its id is. */
    fun isEndedLife(listed: ListedWorker): Boolean {
        val workerId = listed.address.workerId
        if (workerId !in endedWorkers) return false
        val endedUnixMillis = endedWorkers[workerId]
        return endedUnixMillis == null || endedUnixMillis == listed.bornUnixMillis
    }

    var configuration: JobsConfiguration? = null

    /** Whether the platform's list of workers was read in this epoch. */
    var isListKnown = false

    /** Whether the stored roster of workers was read whole. */
    var isRosterKnown = true

    /** Whether every worker that may hold runs is known. */
    val areWorkersKnown: Boolean get() = isListKnown && isRosterKnown
    private val actions = ArrayList<EngineAction>()
    private val changes = LinkedHashMap<String, JobChange?>()
    private val endings = HashMap<String, JobChange>()
    private var runCounter = 0L

    // Jobs that have ended, until their rows are removed.
    private val endedIds = HashSet<String>()

    fun act(action: EngineAction) {
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

    /** Returns a run number above all of earlier epochs. */
    fun nextRunId(): Long = epoch * RUNS_PER_EPOCH + ++runCounter

    /** Notes that the progress of [job] has to be stored. */
    fun changed(job: JobEntry) {
        if (job.id !in endings) changes.putIfAbsent(job.id, null)
    }

    /** Notes that [job] has ended, which is stored in place of its progress. */
    fun ended(job: JobEntry) {
        val change = JobChange(job.id, job.queue.name, job.state, progress = null)
        endings[job.id] = change
        rememberEnd(job.id)
        changes[job.id] = change
    }

    /** Takes note that the job [id] has ended, now or in an earlier epoch. */
    fun rememberEnd(id: String) {
        endedIds += id
        earlyCancellations -= id
    }

    /** Takes note that no row holds the job [id] any more, so that it cannot be read again. */
    fun forgetEnd(id: String) {
        endedIds -= id
    }

    /** Jobs whose cancellation was read before the job itself. */
    val earlyCancellations = LinkedHashSet<String>()

    /** Takes note that [id] is cancelled although it is not known yet. */
    fun cancelledEarly(id: String) {
        if (hasEnded(id)) return
        earlyCancellations += id
        if (earlyCancellations.size > MOST_EARLY_CANCELLATIONS) earlyCancellations.remove(earlyCancellations.first())
    }

    /** Whether the job [id] may have been accepted and is not read yet. */
    fun isUnreadJob(id: String): Boolean = id !in jobs && !hasEnded(id)

    /** Whether the job [id] ended in this epoch. */
    fun hasEnded(id: String): Boolean = id in endedIds

    val hasChanges: Boolean get() = changes.isNotEmpty()

    /** Takes up to [most] changes that have to be stored. */
    fun takeChanges(most: Int): List<JobChange> {
        val ids = changes.keys.take(most)
        return ids.mapNotNull { id ->
            val ending = changes.remove(id)
            endings.remove(id)
            ending ?: jobs[id]?.let { JobChange(it.id, it.queue.name, it.state, it.progress()) }
        }
    }

    private companion object {
        // A run number must fit into 53 bits, so that every JSON reader keeps it whole.
        const val RUNS_PER_EPOCH = 10_000_000L

        // Far more than can be read before their jobs.
        const val MOST_EARLY_CANCELLATIONS = 50_000
    }
}
