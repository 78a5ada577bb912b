package org.verbenagauge.entry.state.log

/** Outcome of [ChangeLog.propose]. */
public sealed interface ProposeOutcome {
    /** The change is stored as [version]; see [InForce] for when every entry acts on it. */
    public data class Stored(
        val version: Long,
    ) : ProposeOutcome

    /** The document moved on to [currentVersion] since the base version; nothing was or will be stored. */
    public data class Conflict(
        val currentVersion: Long,
    ) : ProposeOutcome

    /** The edit is not valid; nothing was stored. */
    public data class Invalid(
        val problems: List<String>,
    ) : ProposeOutcome

    /** The platform did not answer, for [cause]; nothing was or will be stored. */
    public data class Unavailable(
        val cause: String,
    ) : ProposeOutcome

    /**
     * The outcome could not be settled: the change may be stored, now or later. Proposing it again with the
     * same [operationId] settles it without storing it twice.
     */
    public data class Unknown(
        val operationId: String,
    ) : ProposeOutcome
}
