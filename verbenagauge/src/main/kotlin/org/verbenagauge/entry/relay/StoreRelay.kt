package org.verbenagauge.entry.relay

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.peers.RelayMessage
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpOutcome

/**
 * Makes calls to the platform's store through peers, and serves such calls of peers. A call passes through at most one
 * peer. Must be used from a single-threaded coroutine dispatcher.
 *
 * @param scope scope in which the calls of peers are served.
 * @param direct makes a call to the store without a peer, with a time-out in milliseconds.
 */
internal class StoreRelay(
    private val network: PeerNetwork,
    private val scope: CoroutineScope,
    private val direct: suspend (HttpCall, Long) -> HttpOutcome,
) {
    private class PendingCall(
        val peer: PeerId,
    ) {
        val answer = CompletableDeferred<HttpOutcome>()
        val parts = sortedMapOf<Int, ByteArray>()
    }

    private val pendingCalls = HashMap<Long, PendingCall>()
    private var requestCounter = 0L
    private var preferredPeer: PeerId? = null
    private var activeServedCalls = 0

    /** Starts to receive calls and answers of peers. */
    fun start() {
        network.subscribe { from, message -> if (message is RelayMessage) scope.launch { handle(from, message) } }
    }

    /** Makes [call] through a peer; returns null when no peer is reachable. */
    suspend fun exchange(
        call: HttpCall,
        timeoutMillis: Long,
    ): HttpOutcome? {
        val peer = choosePeer() ?: return null
        val requestId = ++requestCounter
        val pendingCall = PendingCall(peer)
        pendingCalls[requestId] = pendingCall
        val message = RelayMessage.Call(requestId, call.method, call.path, call.body, timeoutMillis)
        if (!network.send(peer, message)) {
            pendingCalls.remove(requestId)
            preferredPeer = null
            return null
        }
        val outcome = withTimeoutOrNull(timeoutMillis + PEER_ROUND_TRIP_MILLIS) { pendingCall.answer.await() }
        pendingCalls.remove(requestId)
        if (outcome !is HttpOutcome.Answered || outcome.status in unavailableStatuses) preferredPeer = null
        return outcome ?: HttpOutcome.Unanswered("no answer from peer '${peer.entryId}'")
    }

    // Keeps a peer as long as it answers; otherwise selects the next one.
    private fun choosePeer(): PeerId? {
        val reachable = network.reachable()
        preferredPeer?.takeIf { it in reachable }?.let { return it }
        if (reachable.isEmpty()) return null
        preferredPeer = reachable.sortedBy { it.entryId }[(requestCounter % reachable.size).toInt()]
        return preferredPeer
    }

    private suspend fun handle(
        from: PeerId,
        message: RelayMessage,
    ) {
        when (message) {
            is RelayMessage.Call -> serve(from, message)
            is RelayMessage.Answer -> addPart(from, message)
        }
    }

    private suspend fun serve(
        from: PeerId,
        call: RelayMessage.Call,
    ) {
        if (activeServedCalls >= MAX_SERVED_CALLS) {
            answer(from, call.requestId, RelayMessage.NOT_DONE, ByteArray(0))
            return
        }
        activeServedCalls++
        val outcome =
            try {
                val timeoutMillis = call.timeoutMillis.coerceIn(1, MAX_CALL_MILLIS)
                direct(HttpCall(call.method, call.path, body = call.body), timeoutMillis)
            } finally {
                activeServedCalls--
            }
        when (outcome) {
            is HttpOutcome.Answered -> answer(from, call.requestId, outcome.status, outcome.body)
            is HttpOutcome.NotSent -> answer(from, call.requestId, RelayMessage.NOT_DONE, ByteArray(0))
            is HttpOutcome.Unanswered -> answer(from, call.requestId, RelayMessage.NOT_KNOWN, ByteArray(0))
        }
    }

    private fun answer(
        to: PeerId,
        requestId: Long,
        status: Int,
        body: ByteArray,
    ) {
        val parts = maxOf(1, (body.size + PART_BYTES - 1) / PART_BYTES)
        repeat(parts) { part ->
            val bytes = body.copyOfRange(part * PART_BYTES, minOf(body.size, (part + 1) * PART_BYTES))
            network.send(to, RelayMessage.Answer(requestId, status, part, parts, bytes))
        }
    }

    private fun addPart(
        from: PeerId,
        message: RelayMessage.Answer,
    ) {
        val pendingCall = pendingCalls[message.requestId]?.takeIf { it.peer == from } ?: return
        pendingCall.parts[message.part] = message.body
        if (pendingCall.parts.size < message.parts) return
        val body = pendingCall.parts.values.fold(ByteArray(0)) { sum, bytes -> sum + bytes }
        val outcome =
            when (message.status) {
                RelayMessage.NOT_DONE -> HttpOutcome.NotSent("peer '${from.entryId}' cannot reach the store")
                RelayMessage.NOT_KNOWN -> HttpOutcome.Unanswered("the store did not answer peer '${from.entryId}'")
                else -> HttpOutcome.Answered(message.status, body)
            }
        pendingCall.answer.complete(outcome)
    }

    private companion object {
        const val PART_BYTES = 24 * 1_024

        // Time for the way to the peer and back, in addition to the time-out of the store.
        const val PEER_ROUND_TRIP_MILLIS = 100L
        const val MAX_CALL_MILLIS = 5_000L

        // The store refuses the peer's calls as well, or is busy.
        val unavailableStatuses = setOf(429, 503)

        // Maximum number of concurrent calls for peers; more would starve the entry's own calls.
        const val MAX_SERVED_CALLS = 200
    }
}
