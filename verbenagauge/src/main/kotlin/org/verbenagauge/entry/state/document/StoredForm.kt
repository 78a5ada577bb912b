package org.verbenagauge.entry.state.document

import kotlinx.serialization.json.Json
import java.security.MessageDigest
import java.util.HexFormat

/** JSON form in which changes are stored. */
internal val changeJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = false
        classDiscriminator = "kind"
    }

/** Returns the SHA-256 of [text] in hexadecimal digits. */
public fun sha256Hex(text: String): String {
    val digest = MessageDigest.getInstance("SHA-256")
    return HexFormat.of().formatHex(digest.digest(text.encodeToByteArray()))
}
