package org.verbenagauge.entry.peers

/**
 * Bounds of the connections between entries.
 *
 * @property handshakeTimeoutMillis longest time until a connection is open and authenticated.
 * @property keepaliveMillis longest pause between two frames of a connection.
 * @property silentAfterMillis time without a frame after which a connection is closed and replaced.
 * @property maxQueuedMessages messages that wait for one connection; the oldest is dropped for a new one.
 * @property maxConnections connections at once, authenticated or not.
 */
public data class PeerLimits(
    val handshakeTimeoutMillis: Long = 2_000,
    val keepaliveMillis: Long = 2_000,
    val silentAfterMillis: Long = 5_000,
    val maxQueuedMessages: Int = 512,
    val maxConnections: Int = 256,
)
