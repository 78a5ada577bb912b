package org.verbenagauge.entry.state

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

/**
 * Returns what is wrong with the chain of [changes], which follow a change of [previousVersion] and [previousHash];
 * empty when every change names the hash of the one before and no version is missing.
 */
public fun chainProblems(
    changes: List<RecordedChange>,
    previousVersion: Long,
    previousHash: String,
): List<String> =
    buildList {
        var version = previousVersion
        var hash = previousHash
        changes.forEach { recorded ->
            val change = recorded.change
            if (change.version != version + 1) add("version ${change.version} does not follow version $version")
            if (change.previousHash != hash) add("version ${change.version} does not name the hash of version $version")
            version = change.version
            hash = recorded.hash
        }
    }
