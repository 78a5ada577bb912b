package org.verbenagauge.entry.state.log

import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.StateMessage
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.document.changeJson
import org.verbenagauge.entry.state.store.ObjectStore
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.WriteOutcome
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.GZIPInputStream
import java.util.zip.GZIPOutputStream

private const val SNAPSHOT_PREFIX = "snapshots/"
private const val VERSIONS_BETWEEN_SNAPSHOTS = 500L
private const val VERSION_DIGITS = 19
private const val PART_BYTES = 64 * 1_024
private const val MAX_SNAPSHOT_BYTES = 16 * 1_024 * 1_024
private const val MAX_PARTS = MAX_SNAPSHOT_BYTES / PART_BYTES

/** Returns the compressed form of [state]. */
internal fun encodeSnapshot(state: ControlState): ByteArray {
    val bytes = ByteArrayOutputStream()
    GZIPOutputStream(bytes).use {
        it.write(changeJson.encodeToString(ControlState.serializer(), state).encodeToByteArray())
    }
    return bytes.toByteArray()
}

/** Reads a state; null when this release cannot read it. */
internal fun decodeSnapshot(bytes: ByteArray): ControlState? =
    try {
        val text =
            GZIPInputStream(
                ByteArrayInputStream(bytes),
            ).use { it.readNBytes(MAX_SNAPSHOT_BYTES).decodeToString() }
        changeJson.decodeFromString(ControlState.serializer(), text)
    } catch (e: IOException) {
        null
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }

/** Returns [state] in messages that each fit into a frame. */
internal fun snapshotParts(state: ControlState): List<StateMessage.SnapshotPart> {
    val chunks = encodeSnapshot(state).toList().chunked(PART_BYTES)
    return chunks.mapIndexed { index, chunk ->
        StateMessage.SnapshotPart(state.version, index, chunks.size, chunk.toByteArray())
    }
}

/** Puts the parts of a snapshot together; parts of one peer arrive in order, or the snapshot is asked for again. */
internal class SnapshotAssembler {
    private var from: PeerId? = null
    private val parts = ArrayList<StateMessage.SnapshotPart>()

    /** Adds [part]; returns the whole state with the last one. */
    fun add(
        sender: PeerId,
        part: StateMessage.SnapshotPart,
    ): ControlState? {
        if (part.count !in 1..MAX_PARTS) return null
        if (part.index == 0) start(sender)
        val fits = sender == from && part.index == parts.size
        if (!fits || parts.any { it.version != part.version }) return null
        parts += part
        if (parts.size < part.count) return null
        val state = decodeSnapshot(parts.map { it.content }.reduce(ByteArray::plus))
        start(null)
        return state
    }

    private fun start(sender: PeerId?) {
        from = sender
        parts.clear()
    }
}

/** Keeps snapshots of the state in the object store, so that a starting entry does not read years of changes. */
internal class SnapshotStore(
    private val objects: ObjectStore,
) {
    private var lastVersion: Long? = null

    /** Reads the latest snapshot; null when there is none or the store does not answer. */
    suspend fun latest(): ControlState? {
        val names = (objects.list(SNAPSHOT_PREFIX, "", 1) as? ReadOutcome.Found)?.value ?: return null
        val name = names.firstOrNull() ?: return null.also { lastVersion = 0 }
        val content = (objects.get(name) as? ReadOutcome.Found)?.value ?: return null
        return decodeSnapshot(content)?.also { lastVersion = it.version }
    }

    /** Writes [state] when enough changes have been stored since the last snapshot. */
    suspend fun write(state: ControlState) {
        val known = lastVersion ?: (latest()?.version ?: lastVersion ?: return)
        if (state.version - known < VERSIONS_BETWEEN_SNAPSHOTS) return
        when (objects.putIfAbsent(nameOf(state.version), encodeSnapshot(state))) {
            is WriteOutcome.Applied, is WriteOutcome.Conflict -> lastVersion = state.version
            is WriteOutcome.Unavailable, is WriteOutcome.Unknown -> Unit
        }
    }

    // The latest snapshot comes first in the order of names.
    private fun nameOf(version: Long) =
        SNAPSHOT_PREFIX + (Long.MAX_VALUE - version).toString().padStart(VERSION_DIGITS, '0')
}
