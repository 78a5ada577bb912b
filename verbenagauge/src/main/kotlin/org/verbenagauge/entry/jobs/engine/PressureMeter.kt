package org.verbenagauge.entry.jobs.engine

import org.verbenagauge.entry.load.BacklogTracker
import org.verbenagauge.entry.load.JobWork
import org.verbenagauge.entry.load.LoadPressure
import org.verbenagauge.entry.load.PoolQueue
import org.verbenagauge.entry.load.PoolUsage
import org.verbenagauge.entry.load.PressureEstimator
import org.verbenagauge.entry.load.StepWork
import org.verbenagauge.entry.load.SurplusRule
import org.verbenagauge.entry.load.WeightRateMeter
import org.verbenagauge.entry.load.WithinShareFractions

/**
 * Measures the load pressure of queues from their jobs. Disabled unless admission is switched on. After a takeover the
 * new owner derives the same pressure from the inherited jobs.
 */
internal class PressureMeter(
    private val state: EngineState,
    private val surplus: SurplusRule = WeightRateMeter(),
) {
    private val isEnabled = state.limits.load.admission
    private val backlog = BacklogTracker()
    private val estimate = PressureEstimator(servesSurplusLast = state.limits.load.accountShares)
    private val withinParts = WithinShareFractions(surplus)
    private var measuredAtMillis = Long.MIN_VALUE / 2
    private var pressure = LoadPressure()

    /** Returns the number of running machines of a pool, or null before the machines are listed; set by the owner. */
    var machinesUp: (serviceName: String) -> Int? = { 0 }

    /**
     * Adds [job] to the backlog. Lasting and scheduled jobs are left out: they are never refused and get capacity
     * regardless of the backlog.
     */
    fun accepted(job: JobEntry) {
        if (!isEnabled || job.isLasting || job.specification.isScheduled) return
        val weight =
            state.configuration
                ?.teams
                ?.get(job.record.teamName)
                ?.weight ?: 0.0
        val steps =
            job.specification.steps.map {
                val cpuMillis = if (it.isFiller) 0 else it.amount.cpuMillis
                StepWork(it.taskCount, cpuMillis, state.runTimes.expectMillis(job.queue.name, it.estimatedMillis))
            }
        val isSurplus = surplus.isSurplus(job.record.teamName, weight, job.acceptedAtMillis)
        backlog.add(job.id, JobWork(job.queue.name, isSurplus, usefulUntilMillis(job), steps))
    }

    /** Updates the time for which the work of [job] is useful, after a change of its objective. */
    fun objectiveChanged(job: JobEntry) {
        if (isEnabled) backlog.changeUsefulUntil(job.id, usefulUntilMillis(job))
    }

    private fun usefulUntilMillis(job: JobEntry): Long {
        val objectiveMillis = job.objectiveAtMillis(state.runTimes) - job.acceptedAtMillis
        return job.acceptedAtMillis + objectiveMillis * USEFUL_OBJECTIVE_MULTIPLE
    }

    /** Removes the work of [task], which is done, from the backlog. */
    fun done(task: TaskEntry) {
        if (isEnabled) backlog.taskDone(task.job.id, task.step.index)
    }

    /** Removes [job], which has ended, from the backlog. */
    fun ended(job: JobEntry) {
        if (isEnabled) backlog.remove(job.id)
    }

    /**
     * Returns the pressure of queues at [now], measured within the last 500 ms; null while admission is switched off.
     */
    fun read(now: Long): LoadPressure? {
        if (!isEnabled) return null
        if (now - measuredAtMillis >= MEASURE_INTERVAL_MILLIS) {
            measuredAtMillis = now
            pressure = measure(now)
        }
        return if (pressure == LoadPressure()) pressure else pressure.copy(ageMillis = now - measuredAtMillis)
    }

    private fun measure(now: Long): LoadPressure {
        val current = state.configuration ?: return LoadPressure()
        val queues = current.queues.map { PoolQueue(it.name, it.serviceName, it.priority) }
        val services = queues.mapTo(LinkedHashSet()) { it.serviceName }
        val standbyMachines =
            current.services.values
                .filter { it.isStandby }
                .map { machinesUp(it.name) }
                .fold<Int?, Int?>(0) { sum, count -> if (sum == null || count == null) null else sum + count }
        val rooms = services.map { room(it, standbyMachines, now) }
        val byQueue = estimate.estimate(now, rooms, queues, backlog.read(now))
        val parts = withinParts.update(now)
        if (byQueue.isEmpty()) return LoadPressure()
        return LoadPressure(byQueue, parts.entries.take(MAX_TEAMS).associate { it.key to it.value })
    }

    private fun room(
        serviceName: String,
        standbyMachines: Int?,
        now: Long,
    ): PoolUsage {
        var room = 0L
        var free = 0L
        var machines = 0
        state.workersOf(serviceName).filter { it.isSchedulable }.forEach { worker ->
            val lasting =
                if (worker.lastingCount >
                    0
                ) {
                    worker.runs.values.filter { it.specification.isLasting }
                } else {
                    emptyList()
                }
            room += worker.listed.capacity.cpuMillis - lasting.sumOf { it.room.cpuMillis }
            free += worker.free.cpuMillis
            machines++
        }
        val awaited =
            state
                .workersOf(serviceName)
                .filter { it.isAwaited(now) && it.isListed && it.listed.isReady && !it.isReserved }
                .sumOf { it.listed.capacity.cpuMillis }
        val standby = standbyMachines?.let { awaited + if (machines > 0) room / machines * it else 0 }
        val isFull = (state.missingRoomByService[serviceName]?.amount?.cpuMillis ?: 0) > 0
        return PoolUsage(serviceName, room, maxOf(0, room - free), standby, isFull)
    }

    private companion object {
        const val MEASURE_INTERVAL_MILLIS = 500L

        // A result is useful to callers until three times the objective has passed since the job was accepted.
        const val USEFUL_OBJECTIVE_MULTIPLE = 3

        // Bounds the size of the owner's row; exceeds the number of accounts of a deployment.
        const val MAX_TEAMS = 120
    }
}
