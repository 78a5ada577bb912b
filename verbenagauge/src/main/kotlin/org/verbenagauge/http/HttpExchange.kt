package org.verbenagauge.http

/**
 * A request to another process.
 *
 * @property method method.
 * @property path path with its query.
 * @property headers headers beside the length and the host.
 * @property body body; empty for none.
 */
internal class HttpCall(
    val method: String,
    val path: String,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: ByteArray = EMPTY,
) {
    private companion object {
        val EMPTY = ByteArray(0)
    }
}

/** Outcome of a request. */
internal sealed interface HttpOutcome {
    /** A whole answer with [status] and [body]. */
    class Answered(
        val status: Int,
        val body: ByteArray,
    ) : HttpOutcome

    /** No connection, for [cause]: no byte of the request was sent. */
    data class NotSent(
        val cause: String,
    ) : HttpOutcome

    /** The request was sent, at least in part, and got no whole answer, for [cause]. */
    data class Unanswered(
        val cause: String,
    ) : HttpOutcome
}

/** Short name of an outcome, for metrics. */
internal val HttpOutcome.label: String
    get() =
        when (this) {
            is HttpOutcome.Answered -> if (status < FIRST_ERROR_STATUS) "answered" else "status_$status"
            is HttpOutcome.NotSent -> "not_sent"
            is HttpOutcome.Unanswered -> "unanswered"
        }

private const val FIRST_ERROR_STATUS = 400
