package org.verbenagauge.entry.model

import kotlinx.serialization.Serializable

/**
 * One stay of an incarnation among the members; a member that was removed and joins again holds rights anew.
 *
 * @property id incarnation.
 * @property joinedVersion version of the change log from which it may hold rights.
 */
@Serializable
public data class HolderId(
    val id: PeerId,
    val joinedVersion: Long,
)
