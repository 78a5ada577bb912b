package org.verbenagauge.entry.state.document

import kotlinx.serialization.json.Json

/** JSON form in which changes are stored. */
internal val changeJson =
    Json {
        encodeDefaults = true
        ignoreUnknownKeys = false
        classDiscriminator = "kind"
    }
