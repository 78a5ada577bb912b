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
import org.verbenagauge.entry.jobs.front.SeenOwner
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
 * Takes the duty of the owner when nobody holds it, and carries it out until it is lost.
 *
 * @param limits times of the engine, read at the start of each term.
 * @param rank position of this entry among those that wait; later ones wait longer, so that they do not race.
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

    /** Direct news between entries; null while there are no peers. */
    var broadcast: OwnerBroadcast? = null
    private var engine: JobEngine? = null
    private var isStopping = false

    /** Whether this entry holds the duty. */
    val isOwner: Boolean get() = term != null

    /** Longest wait of an event for its decision of late; 0 while this entry does not decide. */
    fun longestEventAgeMillis(): Long = term?.decisionLatency?.longestAgeMillis(clock.monotonicMillis()) ?: 0

    /** Longest decision of late; 0 while this entry does not decide. */
    fun longestDecisionMillis(): Long = term?.decisionLatency?.longestDecisionMillis(clock.monotonicMillis()) ?: 0

    /** Machines in doubt; 0 while this entry does not decide. */
    fun slowMachines(): Int = engine?.slowMachines ?: 0

    /** Takes in a newer [newer] configuration. */
    fun configure(newer: JobsConfiguration) {
        configuration = newer
        engine?.configure(newer)
        term?.wake()
    }

    /** Starts nothing more in the availability zones [zoneIds], in this term and in later ones. */
    fun evacuate(zoneIds: Set<String>) {
        evacuatedZoneIds = zoneIds
        engine?.evacuate(zoneIds, clock.monotonicMillis())
        term?.wake()
    }

    /** Gives the duty up and takes none any more. */
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

    // A row that is new is told; until it has been quiet for a while there is nothing to look for.
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
        // What is not vacant for the first is for no other, and finding the own rank goes through all peers.
        return vacancy.isVacant(observation, 0, now) && vacancy.isVacant(observation, rank(), now)
    }

    private suspend fun takeOver(
        seen: SeenOwner,
        current: JobsConfiguration,
    ) {
        // Versions rise with each transaction, so that the version of a row that cannot be read is above its epoch.
        val epoch = (seen.record?.epoch ?: seen.version) + 1
        val record =
            OwnerRecord(
                entryId = entryId,
                epoch = epoch,
                sequence = 0,
                // Callers may ask before the new owner can count.
                pendingByQueue = seen.record?.pendingByQueue.orEmpty(),
                writtenUnixMillis = clock.wallMillis(),
                keepsRoster = seen.record?.keepsRoster ?: (seen.version == 0L),
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
        val fullRowRetentionMillis = if (newLimits.load.accountShares) AccountShares.LOOKBACK_MILLIS else 0
        val cleaner = EndedJobCleaner(ports.store, clock, fullRowRetentionMillis)
        val workVersion = loadStoredState(lease, newEngine, cleaner) ?: return
        runTerm(lease, newEngine, cleaner, workVersion)
    }

    private suspend fun runTerm(
        lease: OwnerLease,
        newEngine: JobEngine,
        cleaner: EndedJobCleaner,
        workVersion: Long,
    ) {
        val newTerm = OwnerTerm(ports, lease, newEngine, cleaner, workVersion, clock, settings, log, broadcast)
        engine = newEngine
        term = newTerm
        configuration?.let(newEngine::configure)
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

    // Others take a row that does not change for that of an owner that is gone, however long reading takes. Null when the duty
    // was lost or given up meanwhile.
    private suspend fun loadStoredState(
        lease: OwnerLease,
        newEngine: JobEngine,
        cleaner: EndedJobCleaner,
    ): Long? =
        coroutineScope {
            val reading = async { StoredStateLoader(ports.store, clock, log).read(newEngine, cleaner) }
            val renewing =
                launch {
                    val lost = OwnerLeaseRenewal(lease, settings).renewWhile { reading.isActive && !isStopping }
                    if (lost != null) {
                        val epoch = lease.record.epoch
                        log.write(Event.OWNERSHIP_LOST, "epoch $epoch: to '${lost.to?.entryId}' while reading")
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

        // The others go first after a loss.
        const val BACKOFF_AFTER_LOSS_MILLIS = 1_000L
    }
}
