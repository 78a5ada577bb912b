package org.verbenagauge.entry.jobs.fleet

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.LastingGuard
import org.verbenagauge.entry.jobs.model.MaintenanceWave
import org.verbenagauge.entry.jobs.ports.Machine
import org.verbenagauge.entry.jobs.ports.MachineGateway
import org.verbenagauge.entry.jobs.ports.MachineOutcome
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/** Encodes the status of a maintenance wave for the operator. */
internal fun interface WaveReports {
    /** Returns the row change that reports whether [wave] is completed. */
    fun change(
        wave: MaintenanceWave,
        isCompleted: Boolean,
    ): RowChange
}

/**
 * Dependencies of maintenance waves and machine moves other than the engine.
 *
 * @property ordersPerSecond orders to machines per second that the platform accepts from all entries together.
 * @property waves returns the waves that the operator currently requests.
 */
internal class WavePorts(
    val machines: MachineGateway,
    val store: RowStore,
    val reports: WaveReports,
    val ordersPerSecond: Double = DEFAULT_ORDERS_PER_SECOND,
    val waves: () -> Collection<MaintenanceWave>,
)

/** Orders per second that every platform accepts. */
internal const val DEFAULT_ORDERS_PER_SECOND = 64.0

/**
 * Executes maintenance waves during the term of one owner.
 *
 * @param mayOrder whether the lease of the owner still permits orders.
 * @param onFenced called with the resource on which a higher fencing token was used.
 */
internal class WaveRunner(
    private val ports: WavePorts,
    private val cache: MachineListCache,
    private val engine: JobEngine,
    private val clock: Clock,
    private val log: EventLog,
    private val mayOrder: () -> Boolean,
    private val onFenced: (String) -> Unit,
) {
    private val progressByWave = HashMap<Long, WaveProgress>()
    private val planner = WaveDrainPlanner(engine.state, LastingGuard(engine.state))

    /** Runs until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            while (true) {
                delay(TICK_MILLIS)
                val active = ports.waves().mapNotNull { progress(it) }.filter { !it.isCompleted }
                if (active.isEmpty() || !mayOrder()) continue
                // The lease may have expired while the list of machines was read.
                if (!cache.refresh() || !mayOrder()) continue
                active.forEach { step(this, it) }
            }
        }

    private suspend fun step(
        scope: CoroutineScope,
        progress: WaveProgress,
    ) {
        val others = progressByWave.values.filter { it !== progress }
        val step = planner.next(progress, cache.machines, cache.readAtMillis, clock.monotonicMillis(), others)
        step.stop.forEach { engine.stop(it, clock.monotonicMillis()) }
        step.order.forEach { machine ->
            progress.inFlight += machine.machineId
            progress.orderedAtMillis.putIfAbsent(machine.machineId, clock.monotonicMillis())
            scope.launch { order(progress, machine) }
        }
        if (step.isFinished && progress.inFlight.isEmpty()) complete(progress)
    }

    private suspend fun order(
        progress: WaveProgress,
        machine: Machine,
    ) {
        val outcome = maintain(progress, machine)
        log.write(
            Event.WAVE_STEP,
            machine.machineId,
            "wave ${progress.wave.number}, worker ${machine.workerId}: $outcome",
        )
        when (outcome) {
            is MachineOutcome.Done -> {
                progress.drainingSinceMillis.remove(machine.machineId)
                progress.done += machine.machineId
                progress.orderedAtMillis[machine.machineId] = clock.monotonicMillis()
                confirmStopped(progress, machine)
                store(progress)
            }

            is MachineOutcome.Fenced -> onFenced("machine '${machine.machineId}'")
            is MachineOutcome.Rejected -> {
                progress.done += machine.machineId
                progress.orderedAtMillis.remove(machine.machineId)
                release(progress, machine)
            }

            is MachineOutcome.Busy, is MachineOutcome.TryLater -> handleNotAccepted(progress, machine)
            is MachineOutcome.Unanswered -> {
                progress.uncertain += machine.machineId
                delay(TICK_MILLIS)
            }
        }
        progress.inFlight -= machine.machineId
    }

    // Another owner may have taken over since the decision, for example when the process was paused.
    private suspend fun maintain(
        progress: WaveProgress,
        machine: Machine,
    ): MachineOutcome {
        if (!mayOrder()) return MachineOutcome.TryLater
        return ports.machines.maintain(machine.machineId, progress.wave.number, engine.state.epoch)
    }

    // This outcome does not tell whether an earlier unanswered order was carried out; that order stays uncertain until
    // a repeated order succeeds or is rejected.
    private suspend fun handleNotAccepted(
        progress: WaveProgress,
        machine: Machine,
    ) {
        if (machine.machineId in progress.uncertain) {
            delay(RETRY_DELAY_MILLIS)
            return
        }
        progress.orderedAtMillis.remove(machine.machineId)
        release(progress, machine)
    }

    // The platform gives the same answer when the maintenance was done before, so only the list of machines shows
    // whether the worker has stopped.
    private suspend fun confirmStopped(
        progress: WaveProgress,
        machine: Machine,
    ) {
        val workerId = machine.workerId ?: return
        val doneAtMillis = clock.monotonicMillis()
        repeat(CONFIRMATION_READS) {
            cache.read()
            if (cache.readAtMillis < doneAtMillis) return@repeat delay(TICK_MILLIS)
            val listed = cache.machines.firstOrNull { it.machineId == machine.machineId }
            if (listed != null && (!listed.isUp || listed.workerId != workerId)) {
                engine.handleMachineStopped(workerId, clock.monotonicMillis())
                return
            }
            delay(TICK_MILLIS)
        }
        release(progress, machine)
    }

    private fun release(
        progress: WaveProgress,
        machine: Machine,
    ) {
        progress.drainingSinceMillis.remove(machine.machineId)
        machine.workerId
            ?.let { engine.state.workers[it] }
            ?.reservations
            ?.remove(progress.reservation)
    }

    private suspend fun complete(progress: WaveProgress) {
        progress.isCompleted = true
        if (!store(progress)) progress.isCompleted = false
    }

    private suspend fun store(progress: WaveProgress): Boolean {
        // Without a valid lease, this could overwrite the record of a later owner that lists more done machines.
        if (!mayOrder()) return false
        val record = RecordCodec.encode(WaveRecord.serializer(), progress.record())
        val changes =
            listOf(
                RowChange(wavePlace, progress.wave.number.toString(), record),
                ports.reports.change(progress.wave, progress.isCompleted),
            )
        val outcome = ports.store.transact(emptyList(), changes, STORE_TIMEOUT_MILLIS)
        val text = "wave ${progress.wave.number}: ${progress.done.size} of ${progress.wave.machineIds.size}"
        log.write(Event.WAVE_REPORTED, "$text, completed ${progress.isCompleted}: $outcome")
        return outcome is TransactionOutcome.Applied
    }

    private suspend fun progress(wave: MaintenanceWave): WaveProgress? {
        progressByWave[wave.number]?.let { return it }
        val read = ports.store.read(wavePlace, wave.number.toString(), STORE_TIMEOUT_MILLIS)
        if (read !is ReadResult.Read) return null
        val wallMillis = clock.wallMillis()
        val stored = read.value?.value?.let { RecordCodec.decode(WaveRecord.serializer(), it) }
        val record = stored ?: WaveRecord(firstSeenUnixMillis = wallMillis)
        // The wall clock may jump, so the age is clamped; the pace has a reserve for errors.
        val ageMillis = (wallMillis - record.firstSeenUnixMillis).coerceIn(0, wave.durationMillis)
        val progress = WaveProgress(wave, record, clock.monotonicMillis() - ageMillis)
        progressByWave[wave.number] = progress
        if (!progress.isCompleted) store(progress)
        return progress
    }

    private companion object {
        const val CONFIRMATION_READS = 2
        val wavePlace = RowPlace("waves")
        const val TICK_MILLIS = 100L

        // Minimum interval between two reads of the list of machines.
        const val RETRY_DELAY_MILLIS = 500L

        const val STORE_TIMEOUT_MILLIS = 700L
    }
}
