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

/** Tells how hard queues are pressed; nothing unless admission is switched on. A new owner tells it again from its jobs. */
internal class PressureMeter(
    private val state: EngineState,
    private val surplus: SurplusRule = WeightRateMeter(),
) {
    private val isOn = state.limits.load.admission
    private val board = BacklogTracker()
    private val estimate = PressureEstimator(servesSurplusLast = state.limits.load.accountShares)
    private val withinParts = WithinShareFractions(surplus)
    private var readAtMillis = Long.MIN_VALUE / 2
    private var pressure = LoadPressure()

    /** Tells how many machines of a pool are up. */
    var machinesUp: (serviceName: String) -> Int = { 0 }

    /** Takes in [job]; lasting and scheduled ones are never refused, and take room whatever waits. */
    fun accepted(job: JobEntry) {
        if (!isOn || job.isLasting || job.specification.isScheduled) return
        val weight =
            state.configuration
                ?.teams
                ?.get(job.record.teamName)
                ?.weight ?: 0.0
        val objectiveMillis = job.objectiveAtMillis(state.runTimes) - job.acceptedAtMillis
        val steps =
            job.specification.steps.map {
                val cpuMillis = if (it.isFiller) 0 else it.amount.cpuMillis
                StepWork(it.taskCount, cpuMillis, state.runTimes.expectMillis(job.queue.name, it.estimatedMillis))
            }
        val isSurplus = surplus.isSurplus(job.record.teamName, weight, job.acceptedAtMillis)
        val usefulUntilMillis = job.acceptedAtMillis + objectiveMillis * USEFUL_OBJECTIVES
        board.add(job.id, JobWork(job.queue.name, isSurplus, usefulUntilMillis, steps))
    }

    /** Takes note that [task] is done. */
    fun done(task: TaskEntry) {
        if (isOn) board.taskDone(task.job.id, task.step.index)
    }

    /** Takes note that [job] has ended. */
    fun ended(job: JobEntry) {
        if (isOn) board.remove(job.id)
    }

    /** How hard queues are pressed at [now], as looked at in the last half second; null while it is not told. */
    fun read(now: Long): LoadPressure? {
        if (!isOn) return null
        if (now - readAtMillis >= READ_MILLIS) {
            readAtMillis = now
            pressure = look(now)
        }
        return if (pressure == LoadPressure()) pressure else pressure.copy(ageMillis = now - readAtMillis)
    }

    private fun look(now: Long): LoadPressure {
        val current = state.configuration ?: return LoadPressure()
        val queues = current.queues.map { PoolQueue(it.name, it.serviceName, it.priority) }
        val services = queues.mapTo(LinkedHashSet()) { it.serviceName }
        val standbyMachines =
            current.services.values
                .filter { it.isStandby }
                .sumOf { machinesUp(it.name) }
        val rooms = services.map { room(it, standbyMachines) }
        val byQueue = estimate.estimate(now, rooms, queues, board.read(now))
        val parts = withinParts.update(now)
        if (byQueue.isEmpty()) return LoadPressure()
        return LoadPressure(byQueue, parts.entries.take(MOST_TEAMS).associate { it.key to it.value })
    }

    private fun room(
        serviceName: String,
        standbyMachines: Int,
    ): PoolUsage {
        var room = 0L
        var free = 0L
        var machines = 0
        state.workersOf(serviceName).filter { it.takesWork }.forEach { worker ->
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
        val standby = if (machines > 0) room / machines * standbyMachines else 0
        val isFull = (state.wantedByService[serviceName]?.amount?.cpuMillis ?: 0) > 0
        return PoolUsage(serviceName, room, maxOf(0, room - free), standby, isFull)
    }

    private companion object {
        const val READ_MILLIS = 500L

        // Callers take a result up to three times the objective after they asked.
        const val USEFUL_OBJECTIVES = 3

        // Bounds the row of the owner; more accounts than a deployment has.
        const val MOST_TEAMS = 120
    }
}
