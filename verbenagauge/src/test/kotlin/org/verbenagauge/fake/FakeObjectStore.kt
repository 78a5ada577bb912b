package org.verbenagauge.fake

import org.verbenagauge.entry.state.store.ObjectStore
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.WriteOutcome
import java.util.TreeMap

/** Object store in memory. */
class FakeObjectStore : ObjectStore {
    /** While true, no request reaches the service. */
    var down = false

    private val objects = TreeMap<String, ByteArray>()

    override suspend fun putIfAbsent(
        name: String,
        content: ByteArray,
    ): WriteOutcome =
        when {
            down -> WriteOutcome.Unavailable("the fake is down")
            objects.putIfAbsent(name, content) == null -> WriteOutcome.Applied
            else -> WriteOutcome.Conflict(emptyList())
        }

    override suspend fun get(name: String): ReadOutcome<ByteArray?> =
        if (down) ReadOutcome.Unavailable("the fake is down") else ReadOutcome.Found(objects[name])

    override suspend fun list(
        prefix: String,
        afterName: String,
        limit: Int,
    ): ReadOutcome<List<String>> =
        when {
            down -> ReadOutcome.Unavailable("the fake is down")
            else ->
                ReadOutcome.Found(
                    objects
                        .tailMap(afterName, false)
                        .keys
                        .filter { it.startsWith(prefix) }
                        .take(limit),
                )
        }
}
