package org.verbenagauge.entry.admission

import kotlinx.coroutines.delay
import org.verbenagauge.entry.Child

private const val TICK_MILLIS = 20L

/** Calls [JobService.tick] periodically, so that requests that have waited too long are refused in time. */
internal class AdmissionTicker(
    private val jobs: JobService,
) : Child {
    override val name = "admission"

    override suspend fun run() {
        while (true) {
            jobs.tick()
            delay(TICK_MILLIS)
        }
    }
}
