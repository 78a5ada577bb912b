package org.verbenagauge.entry.idempotency

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.verbenagauge.entry.JobAnswer
import org.verbenagauge.entry.model.sha256Hex
import java.security.MessageDigest
import java.util.Base64
import java.util.HexFormat

internal const val CLAIM_PREFIX = "claims/"
private const val MAX_STORED_BODY_BYTES = 16_384
private val claimJson = Json { ignoreUnknownKeys = true }

/**
 * Stored claim of a request on a job.
 *
 * @property requestId request that claimed the job.
 * @property bodySha256Hex SHA-256 of the content type and the body, in hexadecimal.
 * @property claimedAtWallMillis wall-clock time of the claim at the claiming entry.
 * @property released whether the request did not run, so that another request may claim the job.
 * @property outcome how the request ended, or null when no outcome is recorded.
 */
@Serializable
internal data class ClaimRecord(
    val requestId: String,
    val bodySha256Hex: String,
    val claimedAtWallMillis: Long,
    val released: Boolean = false,
    val outcome: ClaimedOutcome? = null,
)

/**
 * Stored outcome of a claimed request.
 *
 * @property reasonCode code of the answer's reason.
 * @property status HTTP status code of the endpoint, or null when there was no complete response.
 * @property contentType content type of the endpoint's response, or null.
 * @property bodyBase64 body of the endpoint's response, or null when there was none or it was too large to store.
 */
@Serializable
internal data class ClaimedOutcome(
    val reasonCode: String,
    val status: Int? = null,
    val contentType: String? = null,
    val bodyBase64: String? = null,
)

/** Returns the row key of the claim; the length prefixes keep team, queue and idempotency key unambiguous. */
internal fun claimRowKey(
    teamId: String,
    queueId: String,
    idempotencyKey: String,
): String = CLAIM_PREFIX + sha256Hex("${teamId.length}:$teamId${queueId.length}:$queueId$idempotencyKey")

internal fun bodyHash(
    contentType: String?,
    body: ByteArray,
): String {
    val digest = MessageDigest.getInstance("SHA-256")
    digest.update("${contentType?.length ?: -1}:${contentType.orEmpty()}".encodeToByteArray())
    return HexFormat.of().formatHex(digest.digest(body))
}

internal fun claimedOutcome(answer: JobAnswer): ClaimedOutcome {
    val endpointAnswer = answer.endpointAnswer ?: return ClaimedOutcome(answer.reason.code)
    val body = endpointAnswer.body.takeIf { it.size <= MAX_STORED_BODY_BYTES }
    return ClaimedOutcome(
        reasonCode = answer.reason.code,
        status = endpointAnswer.status,
        contentType = endpointAnswer.contentType,
        bodyBase64 = body?.let { Base64.getEncoder().encodeToString(it) },
    )
}

internal fun encodeClaim(record: ClaimRecord): String = claimJson.encodeToString(ClaimRecord.serializer(), record)

internal fun decodeClaim(value: String): ClaimRecord = claimJson.decodeFromString(ClaimRecord.serializer(), value)
