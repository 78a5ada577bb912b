package org.verbenagauge.entry.operator

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import org.verbenagauge.entry.state.document.OperatorAccount
import java.util.UUID

private const val BEARER_PREFIX = "Bearer "
private const val RETRY_AFTER_SECONDS = "1"
private val operationIdPattern = Regex("[A-Za-z0-9_-]{1,64}")
private val versionPattern = Regex("\"([0-9]{1,18})\"")

/** Name of the header that identifies a change when it is sent again. */
public const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

/** Condition of a change on the version of the document. */
internal sealed interface VersionCondition {
    data class Exactly(
        val version: Long,
    ) : VersionCondition

    data object Any : VersionCondition

    data object Missing : VersionCondition

    data object Malformed : VersionCondition
}

internal fun ApplicationCall.versionCondition(): VersionCondition {
    val raw = request.headers[HttpHeaders.IfMatch] ?: return VersionCondition.Missing
    if (raw == "*") return VersionCondition.Any
    val digits = versionPattern.matchEntire(raw)?.groupValues?.get(1) ?: return VersionCondition.Malformed
    return VersionCondition.Exactly(digits.toLong())
}

/** Returns the operator whose key came with the request, or null. */
internal fun ApplicationCall.bearerOf(operators: List<OperatorAccount>): OperatorAccount? {
    val raw = request.headers[HttpHeaders.Authorization] ?: return null
    if (!raw.startsWith(BEARER_PREFIX)) return null
    return operators.holderOf(raw.substring(BEARER_PREFIX.length))
}

/** Returns the operation id: the operator's own when the header names one, else a new one; null when malformed. */
internal fun ApplicationCall.operationId(operator: OperatorAccount): String? {
    val raw = request.headers[IDEMPOTENCY_KEY_HEADER] ?: return "${authorOf(operator)}/${UUID.randomUUID()}"
    return if (operationIdPattern.matches(raw)) "${authorOf(operator)}/$raw" else null
}

/** Body of a request, read up to a bound. */
internal sealed interface BodyRead<out T> {
    data class Read<T>(
        val value: T,
    ) : BodyRead<T>

    data class Refused(
        val problem: Problem,
    ) : BodyRead<Nothing>
}

internal suspend fun <T> ApplicationCall.readBody(
    serializer: KSerializer<T>,
    maxBytes: Long,
): BodyRead<T> {
    val bytes = receiveChannel().readRemaining(maxBytes + 1).readByteArray()
    if (bytes.size > maxBytes) return BodyRead.Refused(problem(ProblemKind.TOO_LARGE, "limit $maxBytes bytes"))
    return try {
        BodyRead.Read(adminJson.decodeFromString(serializer, bytes.decodeToString(throwOnInvalidSequence = true)))
    } catch (e: SerializationException) {
        BodyRead.Refused(problem(ProblemKind.MALFORMED, e.message?.lineSequence()?.first()))
    } catch (e: IllegalArgumentException) {
        BodyRead.Refused(problem(ProblemKind.MALFORMED, e.message?.lineSequence()?.first()))
    } catch (e: CharacterCodingException) {
        BodyRead.Refused(problem(ProblemKind.MALFORMED, "the body is not UTF-8: ${e.message}"))
    }
}

internal suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    response.header(HttpHeaders.CacheControl, "no-store")
    respondText(adminJson.encodeToString(serializer, value), ContentType.Application.Json, status)
}

internal suspend fun ApplicationCall.respondProblem(problem: Problem) {
    val status = HttpStatusCode.fromValue(problem.status)
    response.header(HttpHeaders.CacheControl, "no-store")
    if (status == HttpStatusCode.ServiceUnavailable) response.header(HttpHeaders.RetryAfter, RETRY_AFTER_SECONDS)
    if (status == HttpStatusCode.Unauthorized) response.header(HttpHeaders.WWWAuthenticate, "Bearer")
    respondText(adminJson.encodeToString(Problem.serializer(), problem), problemContentType, status)
}
