package org.verbenagauge.entry.model

import kotlinx.serialization.Serializable

/**
 * Identity of one run of an entry instance; a restart makes a new incarnation.
 *
 * @property entryId name of the entry instance.
 * @property incarnation drawn at random at the start of the process.
 */
@Serializable
public data class PeerId(
    val entryId: String,
    val incarnation: Long,
)
