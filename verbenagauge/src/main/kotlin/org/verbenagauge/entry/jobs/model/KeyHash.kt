package org.verbenagauge.entry.jobs.model

import java.security.MessageDigest
import java.util.HexFormat

/** Hash under which a key of a team is kept. */
public object KeyHash {
    /** Returns the SHA-256 of [key] in hexadecimal digits. */
    public fun of(key: String): String =
        HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(key.encodeToByteArray()))
}
