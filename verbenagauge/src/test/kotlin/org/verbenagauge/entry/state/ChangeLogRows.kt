package org.verbenagauge.entry.state

import org.verbenagauge.entry.state.control.decodeChange
import org.verbenagauge.entry.state.log.CHANGE_PREFIX
import org.verbenagauge.fake.FakeRows

/** Reads what a fake table service holds of the sequence of changes. */
internal class ChangeLogRows(
    private val rows: FakeRows,
) {
    private val changes get() = rows.scan(CHANGE_PREFIX, "", Int.MAX_VALUE).map { decodeChange(it.value) }

    /** Version of the last change. */
    fun head(): Long = changes.lastOrNull()?.version ?: 0

    /** Version that each operation has made. */
    fun operationIds(): Map<String, Long> = changes.associate { it.operationId to it.version }
}
