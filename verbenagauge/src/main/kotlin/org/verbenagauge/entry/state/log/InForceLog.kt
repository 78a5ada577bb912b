package org.verbenagauge.entry.state.log

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.state.document.changeJson
import org.verbenagauge.entry.state.force.InForce
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.RowCondition
import org.verbenagauge.entry.state.store.RowWrite
import org.verbenagauge.entry.state.store.TableService
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome

private const val OBSERVATION_PREFIX = "changes/in-force/"
private const val VERSION_DIGITS = 16
private const val OBSERVE_MILLIS = 250L

/**
 * First time at which an entry saw a version in force everywhere.
 *
 * @property version version that was in force everywhere.
 * @property seenAtWallMillis wall clock of the entry.
 * @property entryId entry instance that saw it.
 */
@Serializable
public data class InForceObservation(
    val version: Long,
    val seenAtWallMillis: Long,
    val entryId: String,
)

/** Records in the table service when versions came in force everywhere; the first entry to see it writes the row. */
public class InForceLog(
    private val table: TableService,
    private val inForce: InForce,
    private val entryId: String,
    private val clock: Clock,
) : Child {
    private var recordedVersion = 0L

    override val name: String = "in-force log"

    override suspend fun run() {
        while (true) {
            observe()
            delay(OBSERVE_MILLIS)
        }
    }

    /** Records the version in force everywhere when it has risen since the last record. */
    public suspend fun observe() {
        val version = inForce.versionInForceEverywhere()
        if (version <= recordedVersion) return
        val observation = InForceObservation(version, clock.wallMillis(), entryId)
        val row = RowWrite(key(version), changeJson.encodeToString(InForceObservation.serializer(), observation))
        val transaction = Transaction("in-force-$entryId-$version", listOf(RowCondition(row.key, 0)), listOf(row))
        when (table.transact(transaction)) {
            is WriteOutcome.Applied, is WriteOutcome.Conflict -> recordedVersion = version
            is WriteOutcome.Unavailable, is WriteOutcome.Unknown -> Unit
        }
    }

    /** Reads up to [limit] observations of versions after [afterVersion], oldest first. */
    public suspend fun read(
        afterVersion: Long,
        limit: Int,
    ): ReadOutcome<List<InForceObservation>> =
        when (val read = table.scan(OBSERVATION_PREFIX, key(afterVersion), limit)) {
            is ReadOutcome.Unavailable -> read
            is ReadOutcome.Found ->
                ReadOutcome.Found(
                    read.value.map { changeJson.decodeFromString(InForceObservation.serializer(), it.value) },
                )
        }

    private fun key(version: Long) = OBSERVATION_PREFIX + version.toString().padStart(VERSION_DIGITS, '0')
}
