package org.verbenagauge.entry.listener

import kotlinx.coroutines.delay
import org.verbenagauge.entry.Child
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

private const val CHECK_MILLIS = 1_000L

/** Reads the PEM files of a listener again when they change. */
internal class TlsReloader(
    private val listener: String,
    private val identity: TlsIdentity,
    private val log: EventLog,
) : Child {
    private var reported: String? = null

    override val name: String = "tls of the $listener listener"

    override suspend fun run() {
        while (true) {
            delay(CHECK_MILLIS)
            check()
        }
    }

    private fun check() {
        when (val outcome = identity.load()) {
            is TlsOutcome.Unchanged -> Unit
            is TlsOutcome.Loaded -> report(Event.TLS_LOADED, "the $listener listener uses its new certificate")
            is TlsOutcome.Invalid -> report(Event.TLS_INVALID, outcome.problem)
        }
    }

    private fun report(
        event: Event,
        message: String,
    ) {
        if (event == Event.TLS_INVALID && message == reported) return
        reported = message
        log.write(event, message)
    }
}
