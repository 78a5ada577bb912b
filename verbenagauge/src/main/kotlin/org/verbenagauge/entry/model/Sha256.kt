package org.verbenagauge.entry.model

import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 of [text] in hexadecimal digits. */
public fun sha256Hex(text: String): String {
    val digest = MessageDigest.getInstance("SHA-256")
    return HexFormat.of().formatHex(digest.digest(text.encodeToByteArray()))
}
