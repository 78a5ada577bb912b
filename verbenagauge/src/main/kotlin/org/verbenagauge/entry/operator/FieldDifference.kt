package org.verbenagauge.entry.operator

import kotlinx.serialization.Serializable

/**
 * One field that differs between two documents.
 *
 * @property path place of the field, such as `teams['growers'].maxRunning`.
 * @property before value before, or null when the thing is new.
 * @property after value after, or null when the thing is removed.
 */
@Serializable
public data class FieldDifference(
    val path: String,
    val before: String?,
    val after: String?,
)
