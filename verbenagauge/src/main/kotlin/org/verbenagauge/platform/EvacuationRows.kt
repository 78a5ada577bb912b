package org.verbenagauge.platform

import kotlinx.serialization.json.JsonObject
import org.verbenagauge.entry.jobs.ports.StoredRow

private const val EVACUATION_PREFIX = "evacuate/"

/**
 * Availability zones that the operator's rows evacuate: a row a zone, there until the zone is taken back.
 *
 * @param onUnreadable is told rows of another shape, which change nothing.
 */
internal class EvacuationRows(
    private val onUnreadable: (StoredRow) -> Unit,
) {
    /** Zones that are evacuated by the rows read so far. */
    var zoneIds: Set<String> = emptySet()
        private set

    /** Whether [row] is about an evacuation. */
    fun isAbout(row: StoredRow): Boolean = row.key.startsWith(EVACUATION_PREFIX)

    /** Takes in the table as a whole: a zone without a row was taken back while no changes were read. */
    fun takeAll(rows: List<StoredRow>) {
        val present = rows.filter { it.value != null }.mapTo(HashSet()) { it.key }
        zoneIds = zoneIds.filterTo(LinkedHashSet()) { EVACUATION_PREFIX + it in present }
        take(rows)
    }

    /** Takes in changed [rows]. */
    fun take(rows: List<StoredRow>) {
        rows.filter(::isAbout).forEach { row ->
            val zoneId = row.key.removePrefix(EVACUATION_PREFIX)
            val value = row.value
            when {
                value == null -> zoneIds = zoneIds - zoneId
                zoneId.isEmpty() || decode(JsonObject.serializer(), value) == null -> onUnreadable(row)
                else -> zoneIds = zoneIds + zoneId
            }
        }
    }
}
