package org.verbenagauge.entry.state.log

import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.control.Change
import org.verbenagauge.entry.state.control.decodeChange
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.TableService

/**
 * A change as the table service holds it.
 *
 * @property change the change.
 * @property hash SHA-256 of the stored row value, in hexadecimal digits.
 */
public data class RecordedChange(
    val change: Change,
    val hash: String,
)

/** Reads past changes from the table service. */
public class AuditTrail(
    private val table: TableService,
) {
    /** Reads up to [limit] changes after version [afterVersion], oldest first. */
    public suspend fun read(
        afterVersion: Long,
        limit: Int,
    ): ReadOutcome<List<RecordedChange>> =
        when (val read = table.scan(CHANGE_PREFIX, changeKey(afterVersion), limit)) {
            is ReadOutcome.Unavailable -> read
            is ReadOutcome.Found ->
                ReadOutcome.Found(read.value.map { RecordedChange(decodeChange(it.value), sha256Hex(it.value)) })
        }
}
