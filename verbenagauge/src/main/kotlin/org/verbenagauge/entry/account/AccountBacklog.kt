package org.verbenagauge.entry.account

import org.verbenagauge.entry.model.PeerId

/**
 * Bounds of the segments that wait for the object store.
 *
 * @property maxPendingBytes compressed bytes of own segments that wait at once.
 * @property maxCopyBytes compressed bytes of segments of peers that are held at once.
 * @property sealAfterMillis age at which the open segment is closed.
 * @property sealAfterOutageMillis the same while the object store does not answer.
 * @property retryMillis pause after a failed upload.
 * @property copyAfterMillis age at which a segment that is not stored yet is copied to a peer.
 * @property copyRetryMillis time without an acknowledgement after which a segment is copied to another peer.
 * @property uploadCopyAfterMillis age at which a held copy is uploaded, unless its owner said that it is stored.
 */
internal data class BacklogLimits(
    val maxPendingBytes: Long = 12_582_912,
    val maxCopyBytes: Long = 8_388_608,
    val sealAfterMillis: Long = 2_000,
    val sealAfterOutageMillis: Long = 10_000,
    val retryMillis: Long = 1_000,
    val copyAfterMillis: Long = 1_000,
    val copyRetryMillis: Long = 5_000,
    val uploadCopyAfterMillis: Long = 60_000,
)

/** How much of the room for waiting segments is taken. */
internal enum class Room {
    /** Every request gets a record. */
    FREE,

    /** Requests without an accepted key are only counted. */
    SCARCE,

    /** All requests are only counted. */
    NONE,
}

/**
 * Encoded segment.
 *
 * @property name name in the object store.
 * @property content object.
 */
internal class SegmentObject(
    val name: String,
    val content: ByteArray,
)

/** Decides which segments are uploaded, copied to peers and held for peers. */
internal class AccountBacklog(
    private val limits: BacklogLimits,
) {
    private val pending = LinkedHashMap<String, Waiting>()
    private val copies = LinkedHashMap<String, Waiting>()
    private var uploading: String? = null
    private var retryAtMillis = Long.MIN_VALUE

    /** Compressed bytes of own segments that are not stored yet. */
    var pendingBytes = 0L
        private set

    /** Compressed bytes of segments held for peers. */
    var copyBytes = 0L
        private set

    /** Number of own segments that are not stored yet. */
    val pendingCount: Int get() = pending.size

    /** Number of own segments that are neither stored nor acknowledged by a peer. */
    val uncopiedCount: Int get() = pending.values.count { !it.copied }

    /** Room for further segments. */
    val room: Room
        get() =
            when {
                pendingBytes >= limits.maxPendingBytes -> Room.NONE
                pendingBytes >= limits.maxPendingBytes / 2 -> Room.SCARCE
                else -> Room.FREE
            }

    /** Age at which the open segment is closed now. */
    val sealAfterMillis: Long
        get() = if (pending.size > 1) limits.sealAfterOutageMillis else limits.sealAfterMillis

    /** Takes a segment of this entry instance. */
    fun add(
        name: String,
        content: ByteArray,
        nowMillis: Long,
    ) {
        pending[name] = Waiting(content, nowMillis)
        pendingBytes += content.size
    }

    /** Takes a copy that [from] holds or owns; false when there is no room. */
    fun hold(
        name: String,
        content: ByteArray,
        nowMillis: Long,
        from: PeerId,
    ): Boolean {
        if (name in copies) return true
        if (copyBytes + content.size > limits.maxCopyBytes) return false
        copies[name] = Waiting(content, nowMillis, from)
        copyBytes += content.size
        return true
    }

    /** Forgets the copy [name], which [from] sent and now says to be stored. */
    fun release(
        name: String,
        from: PeerId,
    ) {
        if (copies[name]?.from == from) dropCopy(name)
    }

    /** Treats the copies held for peers as own segments, so that they are stored or handed on before a stop. */
    fun adoptCopies() {
        copies.forEach { (name, copy) ->
            pending.putIfAbsent(name, Waiting(copy.content, copy.sinceMillis))
            pendingBytes += copy.content.size
        }
        copies.clear()
        copyBytes = 0
    }

    /** Notes that a peer holds a copy of [name]. */
    fun copied(name: String) {
        pending[name]?.copied = true
    }

    /** Notes that [name] is stored. */
    fun stored(name: String) {
        if (uploading == name) uploading = null
        dropCopy(name)
        pending.remove(name)?.let { pendingBytes -= it.content.size }
    }

    /** Notes that [name] could not be stored, or not for certain. */
    fun failed(
        name: String,
        nowMillis: Long,
    ) {
        if (uploading == name) uploading = null
        retryAtMillis = nowMillis + limits.retryMillis
    }

    /** Starts again after the shell has failed: nothing is being uploaded. */
    fun restart() {
        uploading = null
    }

    /** Returns the segment to upload at [nowMillis], or null; with [urgent] without waiting for a pause. */
    fun nextUpload(
        nowMillis: Long,
        urgent: Boolean = false,
    ): SegmentObject? {
        if (uploading != null || (!urgent && nowMillis < retryAtMillis)) return null
        val next =
            pending.entries.firstOrNull()
                ?: copies.entries.firstOrNull { nowMillis - it.value.sinceMillis >= limits.uploadCopyAfterMillis }
                ?: return null
        uploading = next.key
        return SegmentObject(next.key, next.value.content)
    }

    /** Returns the segments to copy to peers at [nowMillis]; with [urgent] without waiting for their age. */
    fun nextCopies(
        nowMillis: Long,
        urgent: Boolean = false,
    ): List<SegmentObject> =
        pending.entries
            .filter { (_, waiting) -> !waiting.copied && waiting.copyIsDue(nowMillis, urgent) }
            .take(MAX_COPIES_PER_TICK)
            .map { (name, waiting) ->
                waiting.copiedAtMillis = nowMillis
                SegmentObject(name, waiting.content)
            }

    private fun dropCopy(name: String) {
        copies.remove(name)?.let { copyBytes -= it.content.size }
    }

    private fun Waiting.copyIsDue(
        nowMillis: Long,
        urgent: Boolean,
    ): Boolean {
        val last = copiedAtMillis
        return when {
            last != null -> nowMillis - last >= limits.copyRetryMillis
            else -> urgent || nowMillis - sinceMillis >= limits.copyAfterMillis
        }
    }

    private class Waiting(
        val content: ByteArray,
        val sinceMillis: Long,
        val from: PeerId? = null,
    ) {
        var copied = false
        var copiedAtMillis: Long? = null
    }

    private companion object {
        const val MAX_COPIES_PER_TICK = 4
    }
}
