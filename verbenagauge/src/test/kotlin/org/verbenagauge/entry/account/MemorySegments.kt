package org.verbenagauge.entry.account

import org.verbenagauge.entry.Reason
import java.util.TreeMap

/** Segments in memory. */
internal class MemorySegments(
    val objects: TreeMap<String, ByteArray> = TreeMap(),
) : SegmentSource {
    override suspend fun names(): List<String> = objects.keys.toList()

    override suspend fun read(name: String): ByteArray? = objects[name]

    fun copy() = MemorySegments(TreeMap(objects))
}

internal fun jobRecord(
    number: Int,
    teamId: String? = "growers",
) = JobRecord(
    requestId = "request-$number",
    teamId = teamId,
    queueId = "tallies",
    idempotencyKey = null,
    instanceId = "worker-${number % 8}",
    reason = if (teamId == null) Reason.KEY_UNKNOWN else Reason.SERVED,
    arrivedAtWallMillis = 1_700_000_000_000L + number,
    waitedMillis = 3,
    ranMillis = 20,
)
