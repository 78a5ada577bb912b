package org.verbenagauge.entry.account

import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import org.verbenagauge.entry.clock.Clock
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.model.PeerId
import org.verbenagauge.entry.peers.PeerListener
import org.verbenagauge.entry.peers.PeerMessage
import org.verbenagauge.entry.peers.PeerNetwork
import org.verbenagauge.entry.settings.IdentitySettings
import org.verbenagauge.entry.state.EntryState
import org.verbenagauge.entry.state.store.ObjectStore
import kotlin.random.Random

/**
 * Creates the account of the entry instance that [network] names; its segments go to [objects].
 *
 * @param zoneId availability zone of the entry instance.
 * @param zoneOf availability zone of a peer, or null when it is not known.
 */
public fun accountWriter(
    objects: ObjectStore,
    network: PeerNetwork,
    zoneId: String,
    zoneOf: (PeerId) -> String?,
    clock: Clock,
    log: EventLog,
): AccountWriter = AccountWriter(objects, network, zoneId, zoneOf, clock, log)

/** Returns the network of an entry instance without peers. */
public fun noPeers(entryId: String): PeerNetwork = NoPeers(PeerId(entryId, Random.nextLong()))

/** Creates the account of the entry instance [identity] over [state]. */
internal fun entryAccount(
    identity: IdentitySettings,
    state: EntryState,
    clock: Clock,
    log: EventLog,
): AccountWriter =
    accountWriter(
        objects = state.platform.objects,
        network = state.network ?: noPeers(identity.id),
        zoneId = identity.zoneId,
        zoneOf = { peer ->
            state.changes.state.value.membership
                .member(peer)
                ?.zoneId
        },
        clock = clock,
        log = log,
    )

/** Adds the metrics of the account to [registry]. */
internal fun AccountWriter.register(registry: PrometheusRegistry) {
    gauge(registry, "verbenagauge_account_records", "Records of the chain of this entry") { it.records }
    gauge(registry, "verbenagauge_account_counted", "Requests that were only counted") { it.counted }
    gauge(registry, "verbenagauge_account_pending_segments", "Segments not stored yet") { it.pendingSegments }
    gauge(registry, "verbenagauge_account_pending_bytes", "Compressed bytes of segments not stored yet") {
        it.pendingBytes
    }
    gauge(registry, "verbenagauge_account_copy_bytes", "Compressed bytes of segments held for peers") { it.copyBytes }
}

private fun AccountWriter.gauge(
    registry: PrometheusRegistry,
    name: String,
    help: String,
    value: (AccountStatus) -> Number,
) {
    GaugeWithCallback
        .builder()
        .name(name)
        .help(help)
        .callback { it.call(value(status()).toDouble()) }
        .register(registry)
}

/** Network of an entry instance that has no peers. */
private class NoPeers(
    override val localId: PeerId,
) : PeerNetwork {
    override fun reachable(): List<PeerId> = emptyList()

    override fun send(
        to: PeerId,
        message: PeerMessage,
    ): Boolean = false

    override fun subscribe(listener: PeerListener) = Unit
}
