package org.verbenagauge.entry.operator

import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.verbenagauge.entry.state.control.ApplyOutcome
import org.verbenagauge.entry.state.control.ControlState
import org.verbenagauge.entry.state.control.Edit
import org.verbenagauge.entry.state.document.OperatorAccount
import org.verbenagauge.entry.state.document.changeJson
import org.verbenagauge.entry.state.force.Freshness
import org.verbenagauge.entry.state.log.AuditTrail
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.InForceLog
import org.verbenagauge.entry.state.log.InForceObservation
import org.verbenagauge.entry.state.log.ProposeOutcome
import org.verbenagauge.entry.state.log.RecordedChange
import org.verbenagauge.entry.state.store.ReadOutcome

private const val MAX_ATTEMPTS = 8
private const val MAX_CONFLICT_CHANGES = 500

/** Reads the state of the fleet for operators. */
public fun interface StatusSource {
    /** Returns the state of the fleet as this entry instance knows it. */
    public fun status(): StatusView
}

/**
 * One change that an operator asks for.
 *
 * @property operator operator who asks.
 * @property documentVersion version of the document that the operator saw, or null to accept any.
 * @property operationId identifies the request when it is repeated; unique per operator.
 * @property edit what changes.
 */
public data class ChangeRequest(
    val operator: OperatorAccount,
    val documentVersion: Long?,
    val operationId: String,
    val edit: Edit,
)

/**
 * Takes changes from operators.
 *
 * A change is decided on the newest state of the table service and stored on condition that this state is still the
 * newest, so that rights, the version that the operator saw, and the validity of the document hold at the same instant.
 */
public class Administration(
    private val changes: ChangeLog,
    private val auditTrail: AuditTrail,
    private val inForceLog: InForceLog,
    private val freshness: Freshness,
    private val bootstrapKeySha256: String?,
    private val reporter: ChangeReporter? = null,
) {
    /** State that this entry knows. */
    public val state: ControlState get() = changes.state.value

    /** Whether this entry may answer operators from what it knows. */
    public fun isFresh(): Boolean = freshness.isFresh()

    /** Operators who may sign in now. */
    public fun operators(): List<OperatorAccount> = operatorsOf(state.configuration, bootstrapKeySha256)

    /** Whether a key with the hash [sha256Hex] is in the document. */
    public fun holdsKey(sha256Hex: String): Boolean {
        val configuration = state.configuration
        return configuration.operators.any { it.keySha256Hex == sha256Hex } ||
            configuration.teams.any { team -> team.keys.any { it.sha256Hex == sha256Hex } }
    }

    /** Stores the change of [request], or says why not. */
    public suspend fun change(request: ChangeRequest): AdminOutcome =
        decide(request).also { reporter?.report(request, it) }

    private suspend fun decide(request: ChangeRequest): AdminOutcome {
        repeat(MAX_ATTEMPTS) {
            val base =
                when (val newest = newest()) {
                    is ReadOutcome.Unavailable -> return AdminOutcome.Unavailable(newest.cause)
                    is ReadOutcome.Found -> newest.value
                }
            refusal(base, request)?.let { return it }
            val author = authorOf(request.operator)
            when (val outcome = changes.propose(base.version, request.edit, author, request.operationId)) {
                is ProposeOutcome.Stored -> return AdminOutcome.Accepted(outcome.version)
                is ProposeOutcome.Invalid -> return AdminOutcome.Invalid(outcome.problems)
                is ProposeOutcome.Unavailable -> return AdminOutcome.Unavailable(outcome.cause)
                is ProposeOutcome.Unknown -> return AdminOutcome.Unknown(outcome.operationId)
                is ProposeOutcome.Conflict -> Unit
            }
        }
        return AdminOutcome.Unavailable("other changes came first $MAX_ATTEMPTS times; send the change again")
    }

    /** Says what [request] would change, without storing it. */
    public suspend fun preview(request: ChangeRequest): AdminOutcome {
        val base =
            when (val newest = newest()) {
                is ReadOutcome.Unavailable -> return AdminOutcome.Unavailable(newest.cause)
                is ReadOutcome.Found -> newest.value
            }
        refusal(base, request)?.let { return it }
        return when (val applied = base.apply(request.edit, base.lastHash)) {
            is ApplyOutcome.Rejected -> AdminOutcome.Invalid(applied.problems)
            is ApplyOutcome.Applied ->
                AdminOutcome.Previewed(
                    base.configurationVersion,
                    documentDifference(base.configuration, applied.state.configuration),
                )
        }
    }

    /** Returns up to [limit] changes after version [afterVersion], oldest first. */
    public suspend fun audit(
        afterVersion: Long,
        limit: Int,
    ): ReadOutcome<List<ChangeView>> =
        when (val read = auditTrail.read(afterVersion, limit)) {
            is ReadOutcome.Unavailable -> read
            is ReadOutcome.Found -> ReadOutcome.Found(views(read.value, afterVersion))
        }

    private suspend fun newest(): ReadOutcome<ControlState> =
        when (val read = changes.check()) {
            is ReadOutcome.Unavailable -> read
            is ReadOutcome.Found -> ReadOutcome.Found(state)
        }

    private suspend fun refusal(
        base: ControlState,
        request: ChangeRequest,
    ): AdminOutcome? {
        val operator =
            operatorsOf(base.configuration, bootstrapKeySha256)
                .firstOrNull { it.id == request.operator.id && it.keySha256Hex == request.operator.keySha256Hex }
                ?: return AdminOutcome.Withdrawn
        repeated(base, request)?.let { return it }
        if (request.documentVersion != null && request.documentVersion != base.configurationVersion) {
            return conflict(base, request.documentVersion)
        }
        val applied = base.apply(request.edit, base.lastHash) as? ApplyOutcome.Applied
        val missing = applied?.let { requiredRights(base.configuration, it.state.configuration) - operator.rights }
        return if (missing.isNullOrEmpty()) null else AdminOutcome.Forbidden(missing)
    }

    // A change whose answer was lost and that is asked for again stands after the version that the operator saw.
    private suspend fun repeated(
        base: ControlState,
        request: ChangeRequest,
    ): AdminOutcome? {
        val seen = request.documentVersion ?: return null
        if (seen == base.configurationVersion) return null
        return when (val read = auditTrail.read(seen, MAX_CONFLICT_CHANGES)) {
            is ReadOutcome.Unavailable -> AdminOutcome.Unavailable(read.cause)
            is ReadOutcome.Found ->
                read.value
                    .firstOrNull { it.change.operationId == request.operationId }
                    ?.let { AdminOutcome.Accepted(it.change.version) }
        }
    }

    private suspend fun conflict(
        base: ControlState,
        seenVersion: Long,
    ): AdminOutcome =
        when (val read = audit(seenVersion, MAX_CONFLICT_CHANGES)) {
            is ReadOutcome.Unavailable -> AdminOutcome.Unavailable(read.cause)
            is ReadOutcome.Found -> AdminOutcome.Conflict(base.configurationVersion, read.value)
        }

    private suspend fun views(
        recorded: List<RecordedChange>,
        afterVersion: Long,
    ): List<ChangeView> {
        val observations =
            when (val read = inForceLog.read(afterVersion, recorded.size + 1)) {
                is ReadOutcome.Unavailable -> emptyList()
                is ReadOutcome.Found -> read.value
            }
        return recorded.map { changeView(it, observations) }
    }
}

/** Returns what is wrong with the chain of [changes], which begin after version [afterVersion]. */
public fun auditProblems(
    changes: List<ChangeView>,
    afterVersion: Long,
): List<String> {
    val firstHash = if (afterVersion == 0L) "" else changes.firstOrNull()?.previousHash.orEmpty()
    var version = afterVersion
    var hash = firstHash
    return changes.flatMap { change ->
        val problems =
            listOfNotNull(
                "version ${change.version} does not follow version $version".takeIf { change.version != version + 1 },
                "version ${change.version} does not name the hash of version $version"
                    .takeIf { change.previousHash != hash },
            )
        version = change.version
        hash = change.hash
        problems
    }
}

/** Name under which changes of [operator] stand in the audit trail. */
internal fun authorOf(operator: OperatorAccount): String = "operator/${operator.id}"

private fun changeView(
    recorded: RecordedChange,
    observations: List<InForceObservation>,
): ChangeView {
    val change = recorded.change
    val edit = changeJson.encodeToJsonElement(Edit.serializer(), change.edit).jsonObject
    return ChangeView(
        version = change.version,
        author = change.author,
        operationId = change.operationId,
        kind = edit.getValue("kind").jsonPrimitive.content,
        acceptedAtWallMillis = change.proposedAtWallMillis,
        inForceAtWallMillis = observations.firstOrNull { it.version >= change.version }?.seenAtWallMillis,
        previousHash = change.previousHash,
        hash = recorded.hash,
        edit = edit.toString(),
    )
}
