package org.verbenagauge.platform

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.jobs.JobMetrics
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.PeerListener
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.peers.RelayMessage
import org.verbenagauge.entry.relay.StoreRelay
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.label
import java.net.ServerSocket

private const val UNREACHED = RelayMessage.NOT_DONE
private const val UNANSWERED = RelayMessage.NOT_KNOWN

// Answers each call with the next of [statuses], as the peer would; then there is no peer.
private class OnePeer(
    private val statuses: ArrayDeque<Int>,
) : PeerNetwork {
    private val peer = PeerId("b", 1)
    private val listeners = ArrayList<PeerListener>()
    override val localId = PeerId("a", 1)

    override fun reachable(): List<PeerId> = if (statuses.isEmpty()) emptyList() else listOf(peer)

    override fun send(
        to: PeerId,
        message: PeerMessage,
    ): Boolean {
        val call = message as? RelayMessage.Call ?: return false
        val answer = RelayMessage.Answer(call.requestId, statuses.removeFirst(), 0, 1, ByteArray(0))
        listeners.forEach { it.received(to, answer) }
        return true
    }

    override fun subscribe(listener: PeerListener) {
        listeners += listener
    }
}

private object StillClock : Clock {
    override fun monotonicMillis(): Long = 1_000

    override fun wallMillis(): Long = 1_000
}

private data class WayCase(
    val name: String,
    val statuses: List<Int>,
    val labels: List<String>,
)

private suspend fun labels(case: WayCase): List<String> {
    // Nobody listens there: every direct call ends without a byte sent.
    val port = ServerSocket(0).use { it.localPort }
    val scope = CoroutineScope(Dispatchers.Default.limitedParallelism(1) + Job())
    return SelectorManager(Dispatchers.IO).use { selector ->
        try {
            val metrics = JobMetrics(PrometheusRegistry())
            val link = StoreLink(selector, HostPort("127.0.0.1", port), StillClock, scope, EventLog("a"), metrics)
            link.relay = StoreRelay(OnePeer(ArrayDeque(case.statuses)), scope, link::direct).also { it.start() }
            case.labels.map { link.exchange(HttpCall("POST", "/v1/rows-tx"), 5_000).label }
        } finally {
            scope.cancel()
        }
    }
}

class StoreLinkTest :
    FunSpec({
        context("a call counts as not sent only when it was sent on no way") {
            withData(
                nameFn = { it.name },
                WayCase("no peer", emptyList(), listOf("not_sent")),
                WayCase("two peers that do not reach the store", listOf(UNREACHED, UNREACHED), listOf("not_sent")),
                WayCase(
                    "a peer that got no answer, another that does not reach it",
                    listOf(UNANSWERED, UNREACHED),
                    listOf("unanswered"),
                ),
                WayCase(
                    "a peer that does not reach it, another that got no answer",
                    listOf(UNREACHED, UNANSWERED),
                    listOf("unanswered"),
                ),
                WayCase("a peer that got no answer and no other", listOf(UNANSWERED), listOf("unanswered")),
                WayCase(
                    "a peer that got no answer, another that is turned away",
                    listOf(UNANSWERED, 503),
                    listOf("unanswered"),
                ),
                WayCase("a peer that is served", listOf(200), listOf("answered")),
                WayCase(
                    "through peers first, which get no answer, and then directly",
                    listOf(200, UNANSWERED, UNANSWERED),
                    listOf("answered", "unanswered"),
                ),
                WayCase(
                    "through peers first, one of which gets no answer, and then directly",
                    listOf(200, UNANSWERED, UNREACHED),
                    listOf("answered", "unanswered"),
                ),
                WayCase(
                    "through peers first, none of which reaches the store, and then directly",
                    listOf(200, UNREACHED, UNREACHED),
                    listOf("answered", "not_sent"),
                ),
            ) { case -> labels(case) shouldBe case.labels }
        }
    })
