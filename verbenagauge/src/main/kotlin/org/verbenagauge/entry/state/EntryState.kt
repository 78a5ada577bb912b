package org.verbenagauge.entry.state

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.PeerAddress
import org.verbenagauge.entry.peers.PeerEndpoint
import org.verbenagauge.entry.peers.SocketPeerNetwork
import org.verbenagauge.entry.settings.EntrySettings
import org.verbenagauge.entry.settings.parsePeerAddress
import org.verbenagauge.entry.state.control.Member
import org.verbenagauge.entry.state.control.limits
import org.verbenagauge.entry.state.force.ForceLimits
import org.verbenagauge.entry.state.log.ChangeLog
import org.verbenagauge.entry.state.log.changeLog
import org.verbenagauge.entry.state.store.GuardedTable
import org.verbenagauge.entry.state.store.Platform
import org.verbenagauge.entry.state.store.TableBudget
import org.verbenagauge.entry.state.store.TableStats
import kotlin.random.Random

/**
 * Shared state of one entry instance and the parts that keep it.
 *
 * @property platform services of the platform; the calls to the table service are kept within a budget.
 * @property changes sequence of changes.
 * @property service follows the changes and says whether this entry may act.
 * @property network other entries, or null when the settings name none.
 */
public class EntryState internal constructor(
    public val platform: Platform,
    public val changes: ChangeLog,
    public val service: StateService,
    public val network: SocketPeerNetwork?,
    private val tableStats: TableStats,
) {
    /** Parts to run below a supervisor. */
    public val children: List<Child> get() = listOfNotNull(network, service)

    /** Adds the metrics of the state and the peers to [registry]. */
    public fun register(registry: PrometheusRegistry) {
        gauge(registry, "verbenagauge_state_version", "Version that this entry holds") { changes.state.value.version }
        gauge(registry, "verbenagauge_state_in_force_version", "Version in force on every entry that may act") {
            service.versionInForceEverywhere()
        }
        gauge(registry, "verbenagauge_state_fresh", "1 while this entry may act") { if (service.isFresh()) 1 else 0 }
        gauge(registry, "verbenagauge_table_calls", "Calls to the table service since the start") {
            tableStats.calls.get()
        }
        gauge(registry, "verbenagauge_table_failures", "Calls to the table service without an answer") {
            tableStats.failures.get()
        }
        gauge(registry, "verbenagauge_table_skipped", "Calls spared while the table service did not answer") {
            tableStats.skipped.get()
        }
        val peers = network ?: return
        gauge(registry, "verbenagauge_peers_connected", "Peers with a live connection") { peers.reachable().size }
        gauge(
            registry,
            "verbenagauge_peers_sent_bytes",
            "Bytes of frames sent to peers",
        ) { peers.stats.sentBytes.get() }
        gauge(registry, "verbenagauge_peers_received_bytes", "Bytes of frames received") {
            peers.stats.receivedBytes.get()
        }
        gauge(registry, "verbenagauge_peers_dropped_messages", "Messages dropped for want of room or a connection") {
            peers.stats.droppedMessages.get()
        }
        gauge(registry, "verbenagauge_peers_refused_frames", "Frames that were not authentic or not readable") {
            peers.stats.refusedFrames.get()
        }
    }

    private fun gauge(
        registry: PrometheusRegistry,
        name: String,
        help: String,
        value: () -> Number,
    ) {
        GaugeWithCallback
            .builder()
            .name(name)
            .help(help)
            .callback { it.call(value().toDouble()) }
            .register(registry)
    }
}

/** Creates the shared state of the entry that [settings] describe; [publish] receives every new view. */
public fun entryState(
    settings: EntrySettings,
    platform: Platform,
    clock: Clock,
    log: EventLog,
    publish: (FleetView) -> Unit,
): EntryState {
    val random = Random.Default
    val tableStats = TableStats()
    val table = GuardedTable(platform.table, clock, TableBudget(), random, tableStats)
    val guarded = Platform(table, platform.objects, platform.instances)
    val changes = changeLog(table, clock)
    val network = peerNetwork(settings, changes, clock, log)
    val parts =
        StateParts(
            entryId = settings.entry.id,
            changes = changes,
            platform = guarded,
            network = network,
            memberOf = { id -> member(settings, id, network?.port() ?: 0) },
            clock = clock,
            log = log,
            limits = ForceLimits(staleAfterMillis = settings.limits.staleAfterMillis),
            listPollMillis = settings.platform.pollMillis,
        )
    return EntryState(guarded, changes, StateService(parts, random, publish), network, tableStats)
}

private fun peerNetwork(
    settings: EntrySettings,
    changes: ChangeLog,
    clock: Clock,
    log: EventLog,
): SocketPeerNetwork? {
    val peers = settings.peers ?: return null
    val seeds = peers.seeds.mapNotNull(::parsePeerAddress)
    val endpoint = PeerEndpoint(peers.host, peers.port, peers.secret.encodeToByteArray())
    return SocketPeerNetwork(settings.entry.id, endpoint, clock, log) {
        val members =
            changes.state.value.membership.members
                .map { PeerAddress(it.host, it.port, it.id.entryId) }
        members + seeds.filter { seed -> members.none { it.host == seed.host && it.port == seed.port } }
    }
}

private fun member(
    settings: EntrySettings,
    id: PeerId,
    port: Int,
) = Member(id, settings.peers?.host.orEmpty(), port, settings.entry.zoneId, settings.entry.regionId)
