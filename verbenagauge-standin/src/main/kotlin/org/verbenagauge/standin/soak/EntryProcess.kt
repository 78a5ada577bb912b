package org.verbenagauge.standin.soak

import java.net.InetAddress
import java.net.ServerSocket
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/**
 * One entry as a process of its own, and the signals that it gets, by its id.
 *
 * @param storeAddress where the process finds the store.
 * @param folder where settings and output of the process go.
 * @param classPath classes that the process runs.
 */
internal class EntryProcess(
    val id: String,
    private val storeAddress: String,
    private val folder: Path,
    private val classPath: String,
) {
    private val ports = freePorts()

    @Volatile private var process: Process? = null

    /** Base of the addresses that callers use. */
    val callerBase = "http://$HOST:${ports[0]}"

    /** Base of the address that the balancer asks. */
    val readinessBase = "http://$HOST:${ports[1]}"

    /** Whether the process is there. */
    val isAlive: Boolean get() = process?.isAlive == true

    /** Starts the process unless it is there. */
    @Synchronized
    fun start() {
        if (isAlive) return
        Files.createDirectories(folder)
        val settings = folder.resolve("$id.toml")
        Files.writeString(settings, settingsText())
        val command =
            listOf(Path.of(System.getProperty("java.home"), "bin", "java").toString()) + javaFlags +
                listOf("-cp", classPath, MAIN, "run", "--settings", settings.toString())
        process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve("$id.log").toFile()))
                .start()
    }

    private fun settingsText() =
        """
        [entry]
        id = "$id"
        zoneId = "zone-0"

        [listeners]
        caller = "$HOST:${ports[0]}"
        readiness = "$HOST:${ports[1]}"
        peers = "$HOST:${ports[2]}"

        [platform]
        store = "$storeAddress"

        [limits]
        leaseMaxMillis = 6000
        """.trimIndent() + "\n"

    /** Stops all threads of the process until [resume]. */
    fun pause() = signal("STOP")

    /** Lets the process go on. */
    fun resume() = signal("CONT")

    private fun signal(name: String) {
        val pid = process?.takeIf { it.isAlive }?.pid() ?: return
        SignalSender.send(name, pid)
    }

    /** Ends the process at once. */
    fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Asks the process to end and ends it after the time that the platform gives. */
    fun terminate() {
        val current = process ?: return
        current.destroy()
        if (!current.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) kill()
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val MAIN = "org.verbenagauge.cli.MainKt"

        // GracePeriodS (DEPLOY, Settings of a process).
        const val GRACE_SECONDS = 6L
        val javaFlags =
            listOf("-Xmx160m", "-Xss256k", "-XX:MaxMetaspaceSize=96m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1")

        fun freePorts(): List<Int> {
            val sockets = List(3) { ServerSocket(0, 1, InetAddress.getLoopbackAddress()) }
            return sockets.map { it.localPort }.also { sockets.forEach(ServerSocket::close) }
        }
    }
}

/** Sends signals through one shell, since starting a process for each takes as long as some pauses. */
private object SignalSender {
    private val shell by lazy { ProcessBuilder("sh").start() }

    @Synchronized
    fun send(
        name: String,
        pid: Long,
    ) {
        shell.outputStream.write("kill -$name $pid; echo\n".encodeToByteArray())
        shell.outputStream.flush()
        shell.inputStream.read()
    }
}
