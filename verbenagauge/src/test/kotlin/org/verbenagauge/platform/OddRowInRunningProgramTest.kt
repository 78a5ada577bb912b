package org.verbenagauge.platform

import com.sun.net.httpserver.HttpServer
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.jobs.records.OwnerRecord
import org.verbenagauge.entry.jobs.records.RecordCodec
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.Base64
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

private const val HOST = "127.0.0.1"
private const val PATIENCE_SECONDS = 20L
private const val HELD = """{"ClockMs":1,"born":5,"Running":[],"Finished":[]}"""

private fun freePort(): Int = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }

/** Workers at one address, which tell when each of them was first asked for its runs. */
private class HeardWorkers : AutoCloseable {
    private val server = HttpServer.create(InetSocketAddress(HOST, 0), 0)
    private val heard = ConcurrentHashMap<String, CompletableFuture<Unit>>()

    val address: String get() = "$HOST:${server.address.port}"

    init {
        server.createContext("/v1/hold") { call ->
            val id = call.requestHeaders.getFirst("X-Verbenagauge-Expected-Instance")
            call.requestBody.use { it.readAllBytes() }
            call.responseHeaders.add("Content-Type", "application/json")
            call.sendResponseHeaders(200, HELD.length.toLong())
            call.responseBody.use { it.write(HELD.encodeToByteArray()) }
            first(id).complete(Unit)
        }
        server.start()
    }

    private fun first(id: String) = heard.computeIfAbsent(id) { CompletableFuture() }

    fun await(id: String) {
        first(id).get(PATIENCE_SECONDS, TimeUnit.SECONDS)
    }

    override fun close() {
        server.stop(0)
    }
}

private class Loopback {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun get(uri: String): HttpResponse<String> = send(HttpRequest.newBuilder(URI(uri)).build())

    fun post(
        uri: String,
        body: String,
    ): HttpResponse<String> =
        send(HttpRequest.newBuilder(URI(uri)).POST(HttpRequest.BodyPublishers.ofString(body)).build())

    private fun send(request: HttpRequest) = client.send(request, HttpResponse.BodyHandlers.ofString())

    /** Asks again and again until the answer is as [isAwaited] says; fails after a time. */
    fun await(
        uri: String,
        isAwaited: (HttpResponse<String>) -> Boolean = { it.statusCode() == 200 },
    ) {
        val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS)
        while (!isAwaited(get(uri))) check(System.nanoTime() < endNanos) { "$uri does not answer as awaited" }
    }
}

private fun worker(
    address: String,
    fields: String = "",
) = """{"Service":"warm-up","Address":"$address","Zone":"z","State":"ready","born":5$fields}"""

private fun route(name: String) =
    """{"Name":"$name","Host":"$HOST","PathPrefix":"/$name/","Service":"warm-up","MaxAttempts":2,"Anonymous":true}"""

private val deep = "[".repeat(200_000)

private val partitions = mapOf("states" to "owner", "progress" to "owner", "work" to "w0")

private class OddRow(
    val table: String,
    val key: String,
    val text: String,
)

private val oddWorkers =
    listOf(
        OddRow("servers", "odd-port", worker("$HOST:70000")),
        OddRow("servers", "odd-sign", worker("$HOST:-1")),
        OddRow("servers", "odd-room", worker("$HOST:9", ""","Capacity":{"Cpu":9223372036854775807}""")),
        OddRow("servers", "odd-cold", worker("$HOST:9", ""","ColdRemainingMs":1e400""")),
        OddRow("servers", "odd-deep", worker("$HOST:9", ""","x":$deep""")),
    )

private val oddRows =
    mapOf(
        "entries of workers" to oddWorkers,
        "a deep evacuation" to listOf(OddRow("op", "evacuate/odd", """{"x":$deep""")),
        "a deep configuration" to listOf(OddRow("op", "config/odd", """{"Version":9,"x":$deep""")),
        "a wave with less than no time" to
            listOf(OddRow("op", "wave/1", """{"Wave":1,"Machines":["m"],"DurationS":-5}""")),
        "a deep wave" to listOf(OddRow("op", "wave/2", deep)),
        "rows of jobs" to
            listOf(
                OddRow("states", "job/odd", "\u009f".repeat(1_000)),
                OddRow("work", "job/odd", "\u00bf\u009f"),
                OddRow("progress", "odd", "\u009f".repeat(1_000)),
            ),
    )

/** Rows of the store at [address], as other writers write them and as the entry leaves them. */
private class Rows(
    private val http: Loopback,
    address: String,
) {
    private val store = "http://$address/v1"

    fun write(row: OddRow) {
        val value = Base64.getEncoder().encodeToString(row.text.encodeToByteArray())
        val part = partitions[row.table].orEmpty()
        val written = """{"Table":"${row.table}","part":"$part","Key":"${row.key}","Value":"$value"}"""
        val call = """{"ExpectedRevision":[],"Write":[$written],"Remove":[]}"""
        http.post("$store/rows-tx", call).statusCode() shouldBe 200
    }

    fun awaitWave(number: Int) {
        http.await("$store/rows-get?Table=status&part=") { answer ->
            rows(answer.body()).any { it.key == "wave/$number" }
        }
    }

    /** Epoch of the owner; it rises whenever the entry takes the ownership anew. */
    fun epoch(): Long {
        val rows = rows(http.get("$store/rows-get?Table=states&part=owner").body())
        val owner = checkNotNull(rows.single { it.key == "owner" }.value)
        return checkNotNull(RecordCodec.decode(OwnerRecord.serializer(), owner)).epoch
    }

    private fun rows(body: String) =
        checkNotNull(decode(WireRows.serializer(), body.encodeToByteArray())).rows.map(::stored)
}

private fun wave(number: Int) = OddRow("op", "wave/$number", """{"Wave":$number,"Machines":["m"],"DurationS":3600}""")

class OddRowInRunningProgramTest :
    FunSpec({
        context("an entry goes on beside odd rows, in the first reading and in changes") {
            withData(nameFn = { it }, oddRows.keys) { kind ->
                val odd = oddRows.getValue(kind)
                val changed =
                    odd.map {
                        OddRow(
                            it.table,
                            "${it.key}0",
                            it.text.replace(""""Wave":1""", """"Wave":10"""),
                        )
                    }
                val http = Loopback()
                val platform = WarmUpPlatform(freePort()).also { it.start() }
                val rows = Rows(http, platform.address)
                val caller = "$HOST:${freePort()}"
                val readiness = "$HOST:${freePort()}"
                val settings =
                    PlatformEntrySettings(
                        EntryIdentity("e", "z"),
                        ListenerAddresses(caller, readiness),
                        PlatformAddresses(platform.address, machines = platform.address),
                    )
                val entry = PlatformEntry(settings)
                HeardWorkers().use { workers ->
                    (odd + OddRow("servers", "good-1", worker(workers.address)) + wave(5)).forEach(rows::write)
                    entry.start()
                    try {
                        workers.await("good-1")
                        rows.awaitWave(5)
                        val epoch = rows.epoch()
                        val routes = """{"Version":2,"Routes":[${route("late")}],"Services":[{"Name":"warm-up"}]}"""
                        (changed + OddRow("servers", "good-2", worker(workers.address)) + wave(6)).forEach(rows::write)
                        rows.write(OddRow("op", "config", routes))
                        workers.await("good-2")
                        rows.awaitWave(6)
                        http.await("http://$caller/late/")
                        http.await("http://$readiness/")
                        val job = """{"Steps":[{"Count":1,"Cpu":1}]}"""
                        http.post("http://$caller/late/0000000000000001", job).statusCode() shouldBe 200
                        rows.epoch() shouldBe epoch
                    } finally {
                        entry.stop()
                        platform.stop()
                    }
                }
            }
        }
    })
