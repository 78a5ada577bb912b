package org.verbenagauge.entry.state.control

/** Outcome of an edit of one part of the state. */
internal sealed interface PartOutcome<out T> {
    data class Edited<T>(
        val part: T,
    ) : PartOutcome<T>

    data class Rejected(
        val problems: List<String>,
    ) : PartOutcome<Nothing>
}
