package org.verbenagauge.entry.state.log

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.control.ApplyOutcome
import org.verbenagauge.entry.state.control.Change
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.MembershipEdit
import org.verbenagauge.entry.state.control.decodeChange

private const val MAX_KEPT_CHARS = 2 * 1_024 * 1_024
private const val MAX_KNOWN_OPERATIONS = 4_096

/** Outcome of following a change. */
internal sealed interface FollowOutcome {
    /** The change has been applied, or had been before. */
    data object Followed : FollowOutcome

    /** The change comes later than the next one. */
    data class Gap(
        val version: Long,
    ) : FollowOutcome

    /** The change does not fit the sequence, for [problem]. */
    data class Broken(
        val problem: String,
    ) : FollowOutcome
}

/**
 * State of a [ChangeHistory] as it concerns one entry.
 *
 * @property state state after the last change.
 * @property wasMember whether the entry has been a member, or may have been in between.
 */
internal class HeldState(
    val state: ControlState,
    val wasMember: Boolean,
)

/** Changes that this process has followed: the state they lead to, and the latest of them in encoded form. */
internal class ChangeHistory {
    private val current = MutableStateFlow(ControlState())
    private val encodedChanges = ArrayDeque<String>()
    private val versionByOperation = LinkedHashMap<String, Long>()
    private val pastMembers = HashSet<PeerId>()
    private val candidates = HashSet<PeerId>()
    private var keptChars = 0

    /** State after the last change; its version only rises. */
    val state: StateFlow<ControlState> = current.asStateFlow()

    /** Returns the version that the operation [operationId] made, or null when it is not among the latest. */
    @Synchronized
    fun versionOf(operationId: String): Long? = versionByOperation[operationId]

    /** Returns the state as it concerns the entry [id]. */
    @Synchronized
    fun heldBy(id: PeerId): HeldState = HeldState(current.value, id in pastMembers)

    /** Notes that [id] may become a member by a change that is not followed by itself. */
    @Synchronized
    fun mayJoin(id: PeerId) {
        candidates += id
    }

    /** Applies the change [encoded] when it is the next one. */
    @Synchronized
    fun follow(encoded: String): FollowOutcome {
        val change =
            try {
                decodeChange(encoded)
            } catch (e: SerializationException) {
                return FollowOutcome.Broken("a change cannot be read by this release: ${e.message}")
            } catch (e: IllegalArgumentException) {
                return FollowOutcome.Broken("a change cannot be read by this release: ${e.message}")
            }
        val state = current.value
        return when {
            change.version <= state.version -> FollowOutcome.Followed
            change.version > state.version + 1 -> FollowOutcome.Gap(change.version)
            change.previousHash != state.lastHash ->
                FollowOutcome.Broken("change ${change.version} breaks the hash chain")
            else -> apply(state, change, encoded)
        }
    }

    /** Takes [snapshot] when it is later than the state. */
    @Synchronized
    fun load(snapshot: ControlState) {
        if (snapshot.version <= current.value.version) return
        if (snapshot.membership.startVersion > current.value.version) pastMembers += candidates
        pastMembers += snapshot.membership.ids + snapshot.membership.past.flatMap { it.ids }
        encodedChanges.clear()
        keptChars = 0
        current.value = snapshot
    }

    /**
     * Returns the encoded changes after [version], oldest first, up to [maxChars] characters but at least
     * one; null when they are not kept any more.
     */
    @Synchronized
    fun after(
        version: Long,
        maxChars: Int,
    ): List<String>? {
        val missing = current.value.version - version
        if (missing <= 0) return emptyList()
        if (missing > encodedChanges.size) return null
        var chars = 0
        return encodedChanges.drop((encodedChanges.size - missing).toInt()).takeWhile { encoded ->
            val first = chars == 0
            chars += encoded.length
            first || chars <= maxChars
        }
    }

    private fun apply(
        state: ControlState,
        change: Change,
        encoded: String,
    ): FollowOutcome =
        when (val applied = state.apply(change.edit, sha256Hex(encoded))) {
            is ApplyOutcome.Rejected ->
                FollowOutcome.Broken("change ${change.version} cannot be applied: ${applied.problems.first()}")
            is ApplyOutcome.Applied -> {
                keep(change, encoded)
                if (change.edit is MembershipEdit) pastMembers += applied.state.membership.ids
                current.value = applied.state
                FollowOutcome.Followed
            }
        }

    private fun keep(
        change: Change,
        encoded: String,
    ) {
        encodedChanges.addLast(encoded)
        keptChars += encoded.length
        while (keptChars > MAX_KEPT_CHARS && encodedChanges.size > 1) keptChars -= encodedChanges.removeFirst().length
        versionByOperation[change.operationId] = change.version
        if (versionByOperation.size > MAX_KNOWN_OPERATIONS) versionByOperation.remove(versionByOperation.keys.first())
    }
}
