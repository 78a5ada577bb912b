package org.verbenagauge.platform

// The deepest documents of the platform nest five levels. A level costs the reader some hundred bytes of stack, and
// threads have 256 KB.
private const val MOST_LEVELS = 64

/** Whether the JSON in [body] nests more levels than any document of the platform; reads no more than it must. */
internal fun isNestedTooDeeply(body: ByteArray): Boolean {
    var level = 0
    var isText = false
    var index = 0
    while (index < body.size) {
        when (body[index].toInt().toChar()) {
            '"' -> isText = !isText
            // The character after it neither ends the text nor escapes another one.
            '\\' -> if (isText) index++
            '[', '{' -> if (!isText && ++level > MOST_LEVELS) return true
            ']', '}' -> if (!isText) level--
        }
        index++
    }
    return false
}
