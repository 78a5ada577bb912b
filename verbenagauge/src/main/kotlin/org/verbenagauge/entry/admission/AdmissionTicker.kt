package org.verbenagauge.entry.admission

import kotlinx.coroutines.delay
import org.verbenagauge.entry.Child

private const val TICK_MILLIS = 20L

/** Makes the job service refuse in time what has waited too long. */
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
