package org.verbenagauge.entry.admission

import org.verbenagauge.entry.Reason
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.document.Configuration
import org.verbenagauge.entry.state.document.Team
import java.security.MessageDigest

private const val BEARER_PREFIX = "Bearer "

/** Outcome of checking an API key. */
public sealed interface KeyOutcome {
    /** The key belongs to [team]. */
    public data class Known(
        val team: Team,
    ) : KeyOutcome

    /** The key is refused for [reason]. */
    public data class Refused(
        val reason: Reason,
    ) : KeyOutcome
}

/** API keys of one configuration version, looked up by a prefix of their hash and compared in constant time. */
public class KeyRing(
    configuration: Configuration,
) {
    private val entriesByPrefix =
        configuration.teams
            .flatMap { team -> team.keys.map { KeyEntry(it.sha256Hex.encodeToByteArray(), team) } }
            .groupBy { it.hash.decodeToString(endIndex = PREFIX_DIGITS) }

    /** Checks the value of an Authorization header. */
    public fun check(authorization: String?): KeyOutcome {
        if (authorization == null) return KeyOutcome.Refused(Reason.KEY_MISSING)
        if (!authorization.startsWith(BEARER_PREFIX)) return KeyOutcome.Refused(Reason.KEY_MALFORMED)
        val key = authorization.substring(BEARER_PREFIX.length)
        if (key.isBlank()) return KeyOutcome.Refused(Reason.KEY_MALFORMED)
        val hash = sha256Hex(key)
        val candidates = entriesByPrefix[hash.take(PREFIX_DIGITS)].orEmpty()
        val entry = candidates.firstOrNull { MessageDigest.isEqual(it.hash, hash.encodeToByteArray()) }
        return if (entry == null) KeyOutcome.Refused(Reason.KEY_UNKNOWN) else KeyOutcome.Known(entry.team)
    }

    private class KeyEntry(
        val hash: ByteArray,
        val team: Team,
    )

    private companion object {
        const val PREFIX_DIGITS = 4
    }
}
