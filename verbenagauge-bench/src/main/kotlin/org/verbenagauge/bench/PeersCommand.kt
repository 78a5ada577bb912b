package org.verbenagauge.bench

import com.sun.management.OperatingSystemMXBean
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.verbenagauge.entry.clock.systemClock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.settings.IdentitySettings
import org.verbenagauge.entry.settings.ListenerSettings
import org.verbenagauge.entry.settings.PeerSettings
import org.verbenagauge.entry.settings.PlatformSettings
import org.verbenagauge.entry.state.EntryState
import org.verbenagauge.entry.state.entryState
import org.verbenagauge.entry.state.store.Platform
import org.verbenagauge.entry.state.store.httpPlatform
import org.verbenagauge.standin.PlatformStandIn
import java.lang.management.ManagementFactory

private const val HOST = "127.0.0.1"
private const val SECRET = "secret-of-the-measurement-of-peers"
private const val TIMEOUT_MILLIS = 2_000L
private const val POLL_MILLIS = 500L
private const val NANOS_PER_MILLI = 1_000_000.0

/** Measures what the peers and the shared state cost an idle entry: many entries in one process, on real sockets. */
@OptIn(ExperimentalCli::class)
internal class PeersCommand : Subcommand("peers", "Measure bytes and processor time of idle peers on loopback.") {
    private val entries by option(ArgType.Int, "entries", description = "Number of entries").default(8)
    private val seconds by option(ArgType.Int, "seconds", description = "Length of the measurement").default(20)
    private val storeDown by option(ArgType.Boolean, "store-down", description = "With the store down").default(false)

    override fun execute() =
        runBlocking {
            val standIn = PlatformStandIn()
            val server = standIn.server(HOST, 0).start(wait = false)
            val port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            val platform = httpPlatform("http://$HOST:$port", TIMEOUT_MILLIS)
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val states = List(entries) { state(it, platform) }
            states.forEach { state -> state.children.forEach { scope.launch { it.run() } } }
            while (!states.all { it.isMeshed() }) delay(POLL_MILLIS)
            standIn.down = storeDown
            delay(TIMEOUT_MILLIS * 2)
            measure(states)
            scope.cancel()
            server.stop()
        }

    private fun EntryState.isMeshed() =
        service.isFresh() &&
            changes.state.value.membership.members.size == entries &&
            network?.reachable()?.size == entries - 1

    private suspend fun measure(states: List<EntryState>) {
        val before = totals(states)
        val cpu = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        val cpuBefore = cpu.processCpuTime
        delay(seconds * 1_000L)
        val after = totals(states)
        val cpuMillis = (cpu.processCpuTime - cpuBefore) / NANOS_PER_MILLI
        val divisor = entries.toDouble() * seconds
        println("$entries entries, $seconds s, store ${if (storeDown) "down" else "up"}, per entry and second:")
        println("  frame bytes sent and received: %.0f".format((after.bytes - before.bytes) / divisor))
        println("  frames sent and received:      %.1f".format((after.frames - before.frames) / divisor))
        println("  processor time, with the stand-in's: %.2f ms".format(cpuMillis / divisor))
        println("  entries that may act at the end: ${states.count { it.service.isFresh() }}")
    }

    private fun totals(states: List<EntryState>): PeerTotals {
        val stats = states.mapNotNull { it.network?.stats }
        return PeerTotals(
            bytes = stats.sumOf { it.sentBytes.get() + it.receivedBytes.get() },
            frames = stats.sumOf { it.sentFrames.get() + it.receivedFrames.get() },
        )
    }

    private fun state(
        index: Int,
        platform: Platform,
    ): EntryState {
        val settings =
            EntrySettings(
                entry = IdentitySettings("entry-$index", "zone-${index % 6}", "region-${index % 2}"),
                caller = ListenerSettings(HOST, 0),
                operator = ListenerSettings(HOST, 0),
                platform = PlatformSettings("", pollMillis = POLL_MILLIS),
                peers = PeerSettings(HOST, 0, SECRET),
            )
        return entryState(settings, platform, systemClock(), EventLog("entry-$index")) {}
    }
}

private class PeerTotals(
    val bytes: Long,
    val frames: Long,
)
