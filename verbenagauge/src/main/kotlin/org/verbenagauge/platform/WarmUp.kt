package org.verbenagauge.platform

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.verbenagauge.http.HttpCall
import org.verbenagauge.http.HttpConnection
import org.verbenagauge.http.HttpOutcome
import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path

private const val HOST = "127.0.0.1"
private const val ENTRIES = 2

// Until one of the entries has the duty, takes jobs and is connected to the other.
private const val START_MILLIS = 3_000L
private const val CALL_MILLIS = 1_000L
private const val ROUNDS = 5
private const val ROUND_MILLIS = 100L

/**
 * Runs two entries beside a store and a worker in memory for some seconds, so that the classes that every process needs are
 * loaded: settings, start, calls, the feeds of the store, peers, the duty of the owner, orders. Listens on free ports of
 * the loopback interface only.
 */
public fun warmUp() {
    val platform = WarmUpPlatform(freePort()).also { it.start() }
    val entries = List(ENTRIES) { WarmUpEntry("warm-up-$it", platform.address) }
    try {
        entries.forEach { it.entry.start() }
        Thread.sleep(START_MILLIS)
        runBlocking { entries.forEach { call(it) } }
    } finally {
        entries.forEach { it.stop() }
        platform.stop()
    }
}

private suspend fun call(entry: WarmUpEntry) {
    SelectorManager(Dispatchers.IO).use { selector ->
        val callers = HttpConnection(selector, HOST, entry.callerPort)
        val operators = listOf(entry.readinessPort, entry.metricsPort).map { HttpConnection(selector, HOST, it) }
        val path = "${WarmUpPlatform.PREFIX}${entry.id}-job"
        val taken = callers.exchange(HttpCall("POST", path, body = WarmUpPlatform.job()), CALL_MILLIS)
        println("${entry.id}: a job was answered with ${(taken as? HttpOutcome.Answered)?.status}")
        repeat(ROUNDS) {
            callers.exchange(HttpCall("GET", path), CALL_MILLIS)
            delay(ROUND_MILLIS)
        }
        callers.exchange(HttpCall("DELETE", path), CALL_MILLIS)
        callers.exchange(HttpCall("GET", WarmUpPlatform.PREFIX), CALL_MILLIS)
        operators.forEach { it.exchange(HttpCall("GET", "/metrics"), CALL_MILLIS) }
        (operators + callers).forEach { it.close() }
    }
}

private class WarmUpEntry(
    val id: String,
    store: String,
) {
    val callerPort = freePort()
    val readinessPort = freePort()
    val metricsPort = freePort()
    private val file: Path = Files.createTempFile(id, ".toml")
    val entry: PlatformEntry

    init {
        Files.writeString(file, settings(store))
        val read = readPlatformSettings(file)
        check(read is PlatformSettingsOutcome.Valid) { "$read" }
        entry = PlatformEntry(read.settings, file)
    }

    private fun settings(store: String) =
        """
        [entry]
        id = "$id"
        zoneId = "zone"

        [listeners]
        caller = "$HOST:$callerPort"
        readiness = "$HOST:$readinessPort"
        peers = "$HOST:${freePort()}"
        metrics = "$HOST:$metricsPort"

        [platform]
        store = "$store"
        machines = "$store"
        advisor = "$store"

        [limits]
        leaseMaxMillis = 6000
        processorShare = "0.75"
        processorSpeed = "1"
        machineOrdersPerSecond = "8"

        [load]
        accountShares = true
        """.trimIndent() + "\n"

    fun stop() {
        entry.stop()
        Files.delete(file)
    }
}

private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
