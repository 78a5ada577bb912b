package org.verbenagauge.entry.account

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.verbenagauge.entry.Verdict
import org.verbenagauge.entry.model.HybridTime

/** JSON form of the account; the bytes of a line are what is hashed, so nothing is ever encoded again. */
internal val accountJson =
    Json {
        encodeDefaults = false
        explicitNulls = false
        ignoreUnknownKeys = false
        classDiscriminator = "kind"
    }

/**
 * Identity of one chain: one run of one entry instance.
 *
 * @property entryId entry instance.
 * @property incarnation run of the entry instance, drawn at random at its start, in hexadecimal digits.
 */
@Serializable
public data class ChainId(
    val entryId: String,
    val incarnation: String,
) {
    override fun toString(): String = "$entryId-$incarnation"
}

/**
 * One record of a chain.
 *
 * @property sequence position in the chain, from 0, without gaps.
 * @property time hybrid logical time; rises along the chain.
 * @property event what happened.
 */
@Serializable
public data class AccountRecord(
    val sequence: Long,
    val time: HybridTime,
    val event: AccountEvent,
)

/** What a record of the account tells. */
@Serializable
public sealed interface AccountEvent {
    /** The run of the entry instance began in [zoneId]. */
    @Serializable
    @SerialName("opened")
    public data class Opened(
        val zoneId: String,
    ) : AccountEvent

    /**
     * A request got its answer.
     *
     * @property requestId identifies the request.
     * @property verdict verdict header of the answer.
     * @property reason reason code of the answer.
     * @property queueId queue that the caller named, cut after [MAX_NAME_CHARS] characters.
     * @property teamId team, or null when no key was accepted.
     * @property jobId idempotency key of the caller, cut after [MAX_NAME_CHARS] characters, or null.
     * @property instanceId instance that the request was sent to last, or null.
     * @property arrivedAtWallMillis wall clock of the entry at the arrival.
     * @property waitedMillis time from the arrival to the start, or to the refusal.
     * @property ranMillis time from the start to the end, 0 when it was not started.
     */
    @Serializable
    @SerialName("answered")
    public data class Answered(
        val requestId: String,
        val verdict: String,
        val reason: String,
        val queueId: String,
        val teamId: String? = null,
        val jobId: String? = null,
        val instanceId: String? = null,
        val arrivedAtWallMillis: Long,
        val waitedMillis: Long,
        val ranMillis: Long,
    ) : AccountEvent

    /** Requests that are only counted, since there was no room for a record of each: a visible gap in the order. */
    @Serializable
    @SerialName("counted")
    public data class Counted(
        val counts: List<AnswerCount>,
    ) : AccountEvent

    /** Chain [chain] had [hash] at [sequence] when this entry instance heard of it. */
    @Serializable
    @SerialName("peer-head")
    public data class PeerHead(
        val chain: ChainId,
        val sequence: Long,
        val hash: String,
    ) : AccountEvent

    /** The sequence of changes had [hash] at [version]. */
    @Serializable
    @SerialName("change-head")
    public data class ChangeHead(
        val version: Long,
        val hash: String,
    ) : AccountEvent

    /** The run ended by a planned stop; nothing follows. */
    @Serializable
    @SerialName("closed")
    public data object Closed : AccountEvent

    public companion object {
        /** Longest name of a queue or job that a record keeps, in characters. */
        public const val MAX_NAME_CHARS: Int = 128
    }
}

/**
 * Number of requests with the same outcome.
 *
 * @property teamId team, or null when no key was accepted.
 * @property queueId queue, or `*` for all that do not fit.
 * @property reason reason code.
 * @property count number of requests.
 */
@Serializable
public data class AnswerCount(
    val teamId: String? = null,
    val queueId: String,
    val reason: String,
    val count: Long,
)

/** Returns the event for [record]. */
internal fun answeredEvent(record: JobRecord): AccountEvent.Answered =
    AccountEvent.Answered(
        requestId = record.requestId,
        verdict = record.reason.verdict.headerValue,
        reason = record.reason.code,
        queueId = record.queueId.take(AccountEvent.MAX_NAME_CHARS),
        teamId = record.teamId,
        jobId = record.idempotencyKey?.take(AccountEvent.MAX_NAME_CHARS),
        instanceId = record.instanceId,
        arrivedAtWallMillis = record.arrivedAtWallMillis,
        waitedMillis = record.waitedMillis,
        ranMillis = record.ranMillis,
    )

/** Wall clock of the start of a request that ran or may have run, or null. */
public val AccountEvent.Answered.startedAtWallMillis: Long?
    get() = if (verdict == Verdict.NOT_RUN.headerValue) null else arrivedAtWallMillis + waitedMillis
