package org.verbenagauge.entry.peers

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

/**
 * Receives the next element, or null when none comes within [millis]. Unlike a receive that is cancelled by a timeout, it
 * loses no element that comes at that moment.
 */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun <T : Any> ReceiveChannel<T>.receiveWithin(millis: Long): T? =
    select {
        onReceive { it }
        onTimeout(millis) { null }
    }
