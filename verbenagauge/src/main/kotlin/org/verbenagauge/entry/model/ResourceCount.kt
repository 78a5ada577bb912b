package org.verbenagauge.entry.model

import kotlinx.serialization.Serializable

/**
 * Number of one resource.
 *
 * @property resource resource.
 * @property count number, may be negative where it is a difference.
 */
@Serializable
public data class ResourceCount(
    val resource: Resource,
    val count: Int,
)
