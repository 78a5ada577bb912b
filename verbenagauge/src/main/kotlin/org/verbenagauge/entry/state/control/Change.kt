package org.verbenagauge.entry.state.control

import kotlinx.serialization.Serializable

/**
 * One accepted change. The sequence of changes is both the state of the fleet and its audit trail.
 *
 * @property version version that this change makes; versions have no gaps.
 * @property operationId identifies the change when its answer is lost.
 * @property author operator or entry instance that made the change.
 * @property proposedAtWallMillis wall clock of the proposing entry, for display.
 * @property previousHash SHA-256 in hexadecimal digits of the previous change, empty for the first.
 * @property edit what changes.
 */
@Serializable
public data class Change(
    val version: Long,
    val operationId: String,
    val author: String,
    val proposedAtWallMillis: Long,
    val previousHash: String,
    val edit: Edit,
)

/** What a [Change] changes; one file for each family of edits. */
@Serializable
public sealed interface Edit
