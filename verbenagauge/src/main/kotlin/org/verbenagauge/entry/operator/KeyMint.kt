package org.verbenagauge.entry.operator

import java.security.SecureRandom
import java.util.Base64

private const val KEY_BYTES = 32

/** Draws keys for teams and operators. */
public fun interface KeyMint {
    /** Returns a new key of 256 random bits. */
    public fun draw(): String
}

/** Returns a source of keys from the random numbers of the operating system. */
public fun secureKeyMint(): KeyMint {
    val random = SecureRandom()
    return KeyMint {
        val bytes = ByteArray(KEY_BYTES).also(random::nextBytes)
        "vg_" + Base64.getUrlEncoder().withoutPadding().encodeToString(bytes)
    }
}
