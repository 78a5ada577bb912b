package org.verbenagauge.entry.admission

import kotlinx.coroutines.test.TestScope
import org.verbenagauge.entry.clock.Clock

/** Clock that follows the virtual time of [scope]. */
internal class VirtualClock(
    private val scope: TestScope,
) : Clock {
    override fun monotonicMillis(): Long = scope.testScheduler.currentTime

    override fun wallMillis(): Long = scope.testScheduler.currentTime
}
