package org.verbenagauge.entry.operator

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.state.document.OperatorRight

/**
 * A change as operators see it.
 *
 * @property version version that the change made.
 * @property author who made it.
 * @property operationId identifies the change.
 * @property kind kind of the edit.
 * @property acceptedAtWallMillis wall clock of the entry that proposed the change.
 * @property inForceAtWallMillis first time at which an entry saw it in force everywhere, or null when none did yet.
 * @property previousHash hash of the change before.
 * @property hash hash of this change.
 * @property edit the edit as JSON.
 */
@Serializable
public data class ChangeView(
    val version: Long,
    val author: String,
    val operationId: String,
    val kind: String,
    val acceptedAtWallMillis: Long,
    val inForceAtWallMillis: Long?,
    val previousHash: String,
    val hash: String,
    val edit: String,
)

/** Outcome of a change or a preview that an operator asked for. */
public sealed interface AdminOutcome {
    /** The change is stored as [version]. */
    public data class Accepted(
        val version: Long,
    ) : AdminOutcome

    /** The change would be accepted on top of [documentVersion] and would make [difference]. */
    public data class Previewed(
        val documentVersion: Long,
        val difference: List<FieldDifference>,
    ) : AdminOutcome

    /** The document moved on to [documentVersion] through [changes]; nothing was stored. */
    public data class Conflict(
        val documentVersion: Long,
        val changes: List<ChangeView>,
    ) : AdminOutcome

    /** The change is not valid; nothing was stored. */
    public data class Invalid(
        val problems: List<String>,
    ) : AdminOutcome

    /** The operator lacks [missing]; nothing was stored. */
    public data class Forbidden(
        val missing: Set<OperatorRight>,
    ) : AdminOutcome

    /** The key of the operator is no longer valid; nothing was stored. */
    public data object Withdrawn : AdminOutcome

    /** The platform did not answer, for [cause]; nothing was stored. */
    public data class Unavailable(
        val cause: String,
    ) : AdminOutcome

    /** Whether the change is stored is not known; look for [operationId] in the audit trail. */
    public data class Unknown(
        val operationId: String,
    ) : AdminOutcome
}
