package org.verbenagauge.entry.relay

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.Serializable
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.owner.TableFollower
import org.verbenagauge.entry.jobs.ports.ReadResult
import org.verbenagauge.entry.jobs.ports.RowBatch
import org.verbenagauge.entry.jobs.ports.RowChange
import org.verbenagauge.entry.jobs.ports.RowExpectation
import org.verbenagauge.entry.jobs.ports.RowPlace
import org.verbenagauge.entry.jobs.ports.RowStore
import org.verbenagauge.entry.jobs.ports.TransactionOutcome
import org.verbenagauge.entry.jobs.records.RecordCodec
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.peers.PeerAddress
import java.security.SecureRandom

/**
 * Address on which an entry listens for its peers, and the capacity of its machine.
 *
 * @property host IP address.
 * @property port TCP port.
 * @property refreshedUnixMillis time at which the entry last wrote this record.
 * @property cores processor capacity of its machine, in cores; 0 when not reported.
 */
@Serializable
public data class EntryRecord(
    val host: String,
    val port: Int,
    val refreshedUnixMillis: Long,
    val cores: Double = 0.0,
)

/** Directory of the deployment's entries and their shared secret, kept in the platform's store. */
internal class EntryDirectory(
    private val store: RowStore,
    private val clock: Clock,
    private val self: PeerAddress,
    private val ownCores: Double,
    log: EventLog,
) {
    private val follower = TableFollower(store, listOf(place), FEED_WAIT_MILLIS, pauseMillis = 0, log)
    private val recordByEntry = HashMap<String, EntryRecord>()
    private val sharedSecret = CompletableDeferred<ByteArray>()

    /** Addresses of the other entries, as last read. */
    @Volatile
    var peers: List<PeerAddress> = emptyList()
        private set

    /** Returns the processor capacity of the machine of [entryId] in cores, as last read; null when not reported. */
    fun coresOf(entryId: String): Double? = recordByEntry[entryId]?.cores?.takeIf { it > 0 }

    /** Waits until the shared secret is known and returns it. */
    suspend fun secret(): ByteArray = sharedSecret.await()

    /** Follows the directory and refreshes the entry's own record until cancelled. */
    suspend fun run(): Unit =
        coroutineScope {
            launch { follower.run(onAll = ::applyRows, onChanges = ::applyRows) }
            loadOrCreateSecret()
            while (true) {
                val isWritten = writeOwnRecord()
                delay(if (isWritten) REFRESH_MILLIS else RETRY_MILLIS)
            }
        }

    private suspend fun writeOwnRecord(): Boolean {
        val record = EntryRecord(self.host, self.port, clock.wallMillis(), ownCores)
        val key = "$ENTRY_PREFIX${self.entryId}"
        val change = RowChange(place, key, RecordCodec.encode(EntryRecord.serializer(), record))
        val outcome = store.transact(emptyList(), listOf(change) + expiredEntryDeletions(), TIMEOUT_MILLIS)
        return outcome is TransactionOutcome.Applied
    }

    // Entries that have not refreshed their record within the retention period have been replaced.
    private fun expiredEntryDeletions(): List<RowChange> {
        val oldestKeptMillis = clock.wallMillis() - RETENTION_MILLIS
        return recordByEntry
            .filterValues { it.refreshedUnixMillis < oldestKeptMillis }
            .keys
            .filter { it != self.entryId }
            .take(MAX_DELETIONS_PER_WRITE)
            .map { RowChange(place, "$ENTRY_PREFIX$it", null) }
    }

    // The first entry to write a secret decides its value; all entries then read the stored one.
    private suspend fun loadOrCreateSecret() {
        while (!sharedSecret.isCompleted) {
            val read = store.read(place, SECRET_KEY, TIMEOUT_MILLIS)
            val stored = (read as? ReadResult.Read)?.value?.value
            if (stored != null) {
                sharedSecret.complete(stored)
                return
            }
            if (read is ReadResult.Read) {
                val candidate = ByteArray(SECRET_BYTES).also(SecureRandom()::nextBytes)
                val condition = RowExpectation(place, SECRET_KEY, 0)
                store.transact(listOf(condition), listOf(RowChange(place, SECRET_KEY, candidate)), TIMEOUT_MILLIS)
            } else {
                delay(RETRY_MILLIS)
            }
        }
    }

    private fun applyRows(batch: RowBatch) {
        batch.rows.filter { it.key.startsWith(ENTRY_PREFIX) }.forEach { row ->
            val entryId = row.key.removePrefix(ENTRY_PREFIX)
            val record = row.value?.let { RecordCodec.decode(EntryRecord.serializer(), it) }
            if (record == null) recordByEntry.remove(entryId) else recordByEntry[entryId] = record
        }
        peers =
            recordByEntry
                .filterKeys { it != self.entryId }
                .map { (entryId, record) -> PeerAddress(record.host, record.port, entryId) }
    }

    private companion object {
        val place = RowPlace("entries")
        const val ENTRY_PREFIX = "entry/"
        const val SECRET_KEY = "secret"
        const val SECRET_BYTES = 32
        const val FEED_WAIT_MILLIS = 10_000L
        const val TIMEOUT_MILLIS = 1_000L
        const val RETRY_MILLIS = 500L
        const val REFRESH_MILLIS = 3_600_000L
        const val RETENTION_MILLIS = 24 * REFRESH_MILLIS
        const val MAX_DELETIONS_PER_WRITE = 50
    }
}
