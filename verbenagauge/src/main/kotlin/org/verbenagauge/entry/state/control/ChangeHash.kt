package org.verbenagauge.entry.state.control

import org.verbenagauge.entry.state.document.changeJson

/** Returns the row value of [change]. */
internal fun encodeChange(change: Change): String = changeJson.encodeToString(Change.serializer(), change)

/** Reads a change from a row value. */
internal fun decodeChange(value: String): Change = changeJson.decodeFromString(Change.serializer(), value)
