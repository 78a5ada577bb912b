package org.verbenagauge.entry.settings

import kotlinx.serialization.Serializable
import org.verbenagauge.entry.peers.PeerAddress

private const val MIN_SECRET_CHARS = 32
private val ipNumber = Regex("[0-9]{1,3}(\\.[0-9]{1,3}){3}|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*")

/**
 * Listener for the other entry instances. Either all entries of a fleet have it, or none.
 *
 * @property host IP number that the other entries reach this one by.
 * @property port TCP port; 0 takes a free one.
 * @property secret key that all entries of the fleet share.
 * @property seeds other entries to connect to at the start, each as IP number, colon and port.
 */
@Serializable
public data class PeerSettings(
    val host: String,
    val port: Int,
    val secret: String,
    val seeds: List<String> = emptyList(),
)

/** Returns the address that [text] stands for, or null when it is not an IP number, a colon and a port. */
internal fun parsePeerAddress(text: String): PeerAddress? {
    val host = text.substringBeforeLast(':').removeSurrounding("[", "]")
    val port = text.substringAfterLast(':', "").toIntOrNull() ?: return null
    return if (ipNumber.matches(host) && port in 1..MAX_PORT) PeerAddress(host, port) else null
}

/** Returns what is wrong with [peers], or null. */
internal fun peerProblem(peers: PeerSettings): String? {
    val badSeed = peers.seeds.firstOrNull { parsePeerAddress(it) == null }
    return when {
        !ipNumber.matches(peers.host) -> "peers.host: write an IP number"
        peers.port !in 0..MAX_PORT -> "peers.port: write a port from 0 to $MAX_PORT"
        peers.secret.length < MIN_SECRET_CHARS -> "peers.secret: write at least $MIN_SECRET_CHARS characters"
        badSeed != null -> "peers.seeds: write '$badSeed' as IP number, colon and port"
        else -> null
    }
}
