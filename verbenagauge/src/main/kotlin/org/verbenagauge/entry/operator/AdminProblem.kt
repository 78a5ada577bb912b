package org.verbenagauge.entry.operator

import io.ktor.http.ContentType
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON form of the administration API; fields that are not known are refused. */
public val adminJson: Json =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = false
    }

internal val problemContentType = ContentType("application", "problem+json")

/**
 * Kind of error of the administration API.
 *
 * @property type stable name; the `type` of the problem details.
 * @property httpStatus status code.
 * @property title sentence that is the same for all errors of this kind.
 */
public enum class ProblemKind(
    public val type: String,
    public val httpStatus: Int,
    public val title: String,
) {
    MALFORMED("malformed", 400, "The request cannot be read."),
    KEY_REFUSED("key-refused", 401, "The operator key is missing or not valid; send 'Authorization: Bearer KEY'."),
    RIGHT_MISSING("right-missing", 403, "The operator lacks a right."),
    CROSS_SITE("cross-site", 403, "The form does not come from this console; open it again."),
    NOT_FOUND("not-found", 404, "The thing does not exist."),
    KEY_NOT_SHOWN(
        "key-not-shown",
        409,
        "An earlier try has granted the key, and its answer was lost; withdraw the key and grant another one.",
    ),
    VERSION_CONFLICT("version-conflict", 412, "The document has changed since the version that was read."),
    TOO_LARGE("too-large", 413, "The body exceeds the limit."),
    INVALID("invalid", 422, "The change is not valid."),
    VERSION_MISSING("version-missing", 428, "Send 'If-Match' with the version of the document that was read."),
    ENTRY_STALE("entry-stale", 503, "The entry instance cannot tell whether its configuration is in force."),
    STORE_UNAVAILABLE("store-unavailable", 503, "The platform does not answer; nothing was changed."),
    OUTCOME_UNKNOWN("outcome-unknown", 503, "Whether the change is stored is not known; look into the audit trail."),
}

/**
 * Problem details (RFC 9457).
 *
 * @property type stable name of the kind of error.
 * @property title sentence of the kind.
 * @property status status code.
 * @property detail names the thing and where.
 * @property errors fields that are wrong.
 * @property documentVersion version of the document in force, on a conflict.
 * @property changes what changed in between, on a conflict.
 */
@Serializable
public data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String? = null,
    val errors: List<FieldProblem> = emptyList(),
    val documentVersion: Long? = null,
    val changes: List<ChangeView> = emptyList(),
)

/**
 * A field that is wrong.
 *
 * @property field place of the field.
 * @property message what to write.
 */
@Serializable
public data class FieldProblem(
    val field: String,
    val message: String,
)

internal fun problem(
    kind: ProblemKind,
    detail: String? = null,
    errors: List<FieldProblem> = emptyList(),
) = Problem("urn:verbenagauge:problem:${kind.type}", kind.title, kind.httpStatus, detail, errors)

/** Returns the problem of [outcome], or null when it is none. */
internal fun problemOf(outcome: AdminOutcome): Problem? =
    when (outcome) {
        is AdminOutcome.Accepted, is AdminOutcome.Previewed -> null
        is AdminOutcome.Conflict ->
            problem(ProblemKind.VERSION_CONFLICT, "the document is at version ${outcome.documentVersion}")
                .copy(documentVersion = outcome.documentVersion, changes = outcome.changes)
        is AdminOutcome.Invalid ->
            problem(ProblemKind.INVALID, outcome.problems.first(), outcome.problems.map(::fieldProblem))
        is AdminOutcome.Forbidden ->
            problem(ProblemKind.RIGHT_MISSING, outcome.missing.joinToString { "'${it.name.lowercase()}'" })
        is AdminOutcome.Withdrawn -> problem(ProblemKind.KEY_REFUSED, "the key was withdrawn")
        is AdminOutcome.Unavailable -> problem(ProblemKind.STORE_UNAVAILABLE, outcome.cause)
        is AdminOutcome.Unknown -> problem(ProblemKind.OUTCOME_UNKNOWN, "operation '${outcome.operationId}'")
    }

/** Splits a problem text of the validator into field and message. */
internal fun fieldProblem(text: String): FieldProblem =
    FieldProblem(field = text.substringBefore(": ", ""), message = text.substringAfter(": "))
