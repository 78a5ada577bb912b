package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.engine.EngineLimits
import org.verbenagauge.entry.jobs.engine.JobEngine
import org.verbenagauge.entry.jobs.engine.StoreReading
import org.verbenagauge.entry.jobs.engine.leaseExpiryMillis
import org.verbenagauge.entry.jobs.engine.takeoverLeaseMillis
import org.verbenagauge.entry.jobs.front.ObservedOwner
import org.verbenagauge.entry.jobs.front.StateCatalogue
import org.verbenagauge.entry.jobs.model.JobsConfiguration
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.load.AccountShares
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

/**
 * Takes over ownership when it is vacant and runs a term as the owner until ownership is lost.
 *
 * @param limits limits of the engine, read at the start of each term.
 * @param rank position of this entry among those that wait; higher ranks wait longer, so that entries do not race.
 */
internal class Ownership(
    private val entryId: String,
    private val ports: OwnerPorts,
    private val catalogue: StateCatalogue,
    private val clock: Clock,
    private val settings: OwnerSettings,
    private val limits: () -> EngineLimits,
    private val log: EventLog,
    private val rank: () -> Int,
) : Child {
    override val name: String = "ownership"

    private val vacancy = Vacancy(entryId, settings)
    private var configuration: JobsConfiguration? = null
    private var evacuatedZoneIds: Set<String> = emptySet()
    private var term: OwnerTerm? = null

    /** Direct messages between entries; null while there are no peers. */
    var broadcast: OwnerBroadcast? = null
    private var engine: JobEngine? = null
    private var isStopping = false

    /** Whether this entry is the owner. */
    val isOwner: Boolean get() = term != null

    /** Longest recent wait of an event for its decision; 0 while this entry is not the owner. */
    fun longestEventAgeMillis(): Long = term?.decisionLatency?.longestAgeMillis(clock.monotonicMillis()) ?: 0

    /** Duration of the longest recent decision; 0 while this entry is not the owner. */
    fun longestDecisionMillis(): Long = term?.decisionLatency?.longestDecisionMillis(clock.monotonicMillis()) ?: 0

    /** Number of machines that the engine considers slow; 0 while this entry is not the owner. */
    fun slowMachines(): Int = engine?.slowMachines ?: 0

    /** Number of jobs suspected of causing their own failures; 0 while this entry is not the owner. */
    fun suspectJobs(): Int = engine?.suspectJobs ?: 0

    /** Number of tasks that the engine holds; 0 while this entry is not the owner. */
    fun openTasks(): Long = engine?.openTasks ?: 0

    /** Number of ready tasks that wait for runs of earlier owners; 0 while this entry is not the owner. */
    fun tasksWaitingForEarlierRuns(): Long = engine?.tasksWaitingForEarlierRuns ?: 0

    /** Number of waiting jobs that the last thorough scheduling pass left to the next one; 0 while this entry is not the owner. */
    fun unreachedJobs(): Int = engine?.unreachedJobs ?: 0

    /** Number of steps that wait for permission from the advisor; 0 while this entry is not the owner. */
    fun stepsAwaitingAdvice(): Int = engine?.stepsAwaitingAdvice ?: 0

    /** Number of jobs of which a part is due but not held; 0 while this entry is not the owner. */
    fun jobsWithWaitingOccurrences(): Int = engine?.jobsWithWaitingOccurrences ?: 0

    /** Number of jobs that wait for the settings of their queue; 0 while this entry is not the owner. */
    fun jobsOfUnknownQueues(): Int = engine?.jobsOfUnknownQueues ?: 0

    /** Applies the configuration [newer]. */
    fun configure(newer: JobsConfiguration) {
        configuration = newer
        engine?.configure(newer, clock.monotonicMillis())
        term?.wake()
    }

    /** Stops starting runs in the availability zones [zoneIds], in this term and in later ones. */
    fun evacuate(zoneIds: Set<String>) {
        evacuatedZoneIds = zoneIds
        engine?.evacuate(zoneIds, clock.monotonicMillis())
        term?.wake()
    }

    /** Releases ownership and does not take it over again. */
    fun stop() {
        isStopping = true
        term?.release()
    }

    override suspend fun run() {
        while (!isStopping) {
            val seen = catalogue.owner
            val current = configuration
            if (seen == null || current == null || !isVacant()) {
                awaitOwnerChange()
                continue
            }
            takeOver(seen, current)
        }
    }

    // A change of the owner's row ends the wait early. Until the row has been unchanged for a while, ownership cannot
    // be vacant.
    private suspend fun awaitOwnerChange() {
        val certainlyHeldMillis = vacancy.certainlyHeldMillis(catalogue.owner, clock.monotonicMillis())
        withTimeoutOrNull(maxOf(VACANCY_CHECK_MILLIS, certainlyHeldMillis)) { catalogue.ownerChanges.receive() }
    }

    private fun isVacant(): Boolean {
        val seen = catalogue.owner
        val heartbeatsStoppedAtMillis = seen?.record?.let { broadcast?.heartbeatsStoppedAtMillis(it.epoch) }
        val observation =
            OwnerObservation(seen, catalogue.contactSinceMillis, catalogue.silenceMillis(), heartbeatsStoppedAtMillis)
        val now = clock.monotonicMillis()
        // Ownership that is not vacant for rank 0 is vacant for no rank, and computing the rank iterates over all
        // peers.
        return vacancy.isVacant(observation, 0, now) && vacancy.isVacant(observation, rank(), now)
    }

    private suspend fun takeOver(
        seen: ObservedOwner,
        current: JobsConfiguration,
    ) {
        // Versions increase with each transaction, so the version of an unreadable row is above its epoch.
        val epoch = (seen.record?.epoch ?: seen.version) + 1
        val record =
            OwnerRecord(
                entryId = entryId,
                epoch = epoch,
                sequence = 0,
                // Without an age, since this owner has counted nothing yet.
                pendingByQueue = seen.record?.pendingByQueue.orEmpty(),
                writtenUnixMillis = clock.wallMillis(),
                keepsRoster = seen.record?.keepsRoster ?: (seen.version == 0L),
                leaseEndsSinceEpoch = seen.record?.leaseEndsSinceEpoch ?: epoch,
            )
        val sentAtMillis = clock.monotonicMillis()
        val outcome =
            ports.store.transact(
                listOf(RowExpectation(StoredTables.states, StoredTables.OWNER_KEY, seen.version)),
                listOf(RowChange(StoredTables.states, StoredTables.OWNER_KEY, OwnerLease.encode(record))),
                TAKEOVER_TIMEOUT_MILLIS,
            )
        if (outcome !is TransactionOutcome.Applied) {
            log.write(Event.OWNERSHIP_NOT_TAKEN, "epoch ${record.epoch}: $outcome")
            delay(settings.renewIntervalMillis)
            return
        }
        log.write(Event.OWNERSHIP_TAKEN, "epoch ${record.epoch}, after '${seen.record?.entryId}'")
        val lease = OwnerLease(ports.store, clock, record, outcome.version, sentAtMillis)
        val newLimits = limits()
        val newEngine = JobEngine(record.epoch, newLimits, clock.monotonicMillis())
        newEngine.configure(current)
        newEngine.state.isRosterKnown = record.keepsRoster
        newEngine.state.leaseEndsSinceEpoch = record.leaseEndsSinceEpoch ?: epoch
        outcome.storeMillis?.let { storeMillis ->
            newEngine.state.storeClock.record(StoreReading(storeMillis, sentAtMillis, clock.monotonicMillis()))
            val endMillis =
                earlierLeasesEndMillis(seen, storeMillis - (sentAtMillis - seen.observedAtMillis), newLimits)
            newEngine.state.earlierLeasesEndMillis = endMillis
            lease.earlierLeasesEndMillis = endMillis
        }
        lease.onStoreTime = newEngine.state.storeClock::record
        val fullRowRetentionMillis = if (newLimits.load.accountShares) AccountShares.LOOKBACK_MILLIS else 0
        val cleaner = EndedJobCleaner(ports.store, clock, fullRowRetentionMillis)
        val progressRows = ProgressRows()
        val workVersion = loadStoredState(lease, newEngine, cleaner, progressRows) ?: return
        runTerm(lease, newEngine, cleaner, progressRows, workVersion)
    }

    // The earlier owner wrote its row before [observedAtStoreMillis], as this entry has not seen it change since. It
    // orders nothing after its release, and otherwise until its lease has expired.
    private fun earlierLeasesEndMillis(
        seen: ObservedOwner,
        observedAtStoreMillis: Long,
        limits: EngineLimits,
    ): Long {
        val beforeThat = seen.record?.earlierLeasesEndMillis
        val isReleased = seen.record?.entryId?.isEmpty() == true && beforeThat != null
        val boundMillis = if (isReleased) limits.leaseExpiryMillis else limits.takeoverLeaseMillis
        return maxOf(observedAtStoreMillis + boundMillis, beforeThat ?: 0)
    }

    private suspend fun runTerm(
        lease: OwnerLease,
        newEngine: JobEngine,
        cleaner: EndedJobCleaner,
        progressRows: ProgressRows,
        workVersion: Long,
    ) {
        val newTerm =
            OwnerTerm(ports, lease, newEngine, cleaner, progressRows, workVersion, clock, settings, log, broadcast)
        engine = newEngine
        term = newTerm
        configuration?.let { newEngine.configure(it, clock.monotonicMillis()) }
        newEngine.evacuate(evacuatedZoneIds, clock.monotonicMillis())
        if (isStopping) newTerm.release()
        try {
            val reason = newTerm.run()
            log.write(Event.OWNERSHIP_LOST, "epoch ${lease.record.epoch}: $reason")
        } finally {
            term = null
            engine = null
        }
        delay(BACKOFF_AFTER_LOSS_MILLIS)
    }

    // Renews the lease while loading, since other entries take an unchanged row for that of a dead owner, however
    // long loading takes. Returns null when ownership was lost or released meanwhile.
    private suspend fun loadStoredState(
        lease: OwnerLease,
        newEngine: JobEngine,
        cleaner: EndedJobCleaner,
        progressRows: ProgressRows,
    ): Long? =
        coroutineScope {
            val reading = async { StoredStateLoader(ports.store, clock, log).read(newEngine, cleaner, progressRows) }
            val renewing =
                launch {
                    val lost = OwnerLeaseRenewal(lease, settings).renewWhile { reading.isActive && !isStopping }
                    if (lost != null) {
                        val epoch = lease.record.epoch
                        log.write(Event.OWNERSHIP_LOST, "epoch $epoch: to '${lost.to?.entryId}' while loading")
                    }
                    if (lost == null && isStopping) lease.release()
                    reading.cancel()
                }
            renewing.join()
            if (reading.isCancelled) null else reading.await()
        }

    private companion object {
        const val VACANCY_CHECK_MILLIS = 50L
        const val TAKEOVER_TIMEOUT_MILLIS = 700L

        // Lets other entries take over first after a loss.
        const val BACKOFF_AFTER_LOSS_MILLIS = 1_000L
    }
}
