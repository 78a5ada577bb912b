package org.verbenagauge.platform

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog
import org.verbenagauge.entry.settings.readSettingsText
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Path

/**
 * Takes up a changed settings file, at SIGHUP and without any signal. Limits and decisions under load apply from the next
 * term of the owner, limits also at the next stop; addresses and names need a restart, which the log says.
 */
internal class SettingsWatch(
    private val file: Path,
    private val log: EventLog,
    private var current: PlatformEntrySettings,
    private val onSettings: (PlatformEntrySettings) -> Unit,
) {
    private var takenText: String? = null
    private val hangups = Channel<Unit>(Channel.CONFLATED)

    /** Takes over SIGHUP, which would end the process otherwise. */
    fun listen() {
        Signal.handle(Signal("HUP")) { hangups.trySend(Unit) }
    }

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val isSignal = withTimeoutOrNull(CHECK_MILLIS) { hangups.receive() } != null
            check(isSignal)
        }
    }

    // Reading the file costs little, making settings of it some milliseconds.
    private fun check(isSignal: Boolean) {
        val text = textOf(file)
        if (text != null && text == takenText && !isSignal) return
        when (val read = readPlatformSettings(file)) {
            is PlatformSettingsOutcome.Valid -> {
                take(read.settings, isSignal)
                takenText = text
            }
            is PlatformSettingsOutcome.Invalid ->
                log.write(Event.SETTINGS_INVALID, "${read.problem}; the settings in use stay")
        }
    }

    private fun take(
        read: PlatformEntrySettings,
        isSignal: Boolean,
    ) {
        if (read == current) {
            if (isSignal) log.write(Event.SETTINGS_RELOADED, "$file has not changed")
            return
        }
        val needsRestart = read.copy(limits = current.limits, load = current.load) != current
        val rest = if (needsRestart) "; addresses and names apply at the next start" else ""
        log.write(Event.SETTINGS_RELOADED, "$file has changed$rest")
        current = read
        onSettings(read)
    }

    // A file that cannot be read is told of where it is read as settings.
    private fun textOf(file: Path): String? =
        try {
            readSettingsText(file)
        } catch (_: IOException) {
            null
        }

    private companion object {
        const val CHECK_MILLIS = 2_000L
    }
}
