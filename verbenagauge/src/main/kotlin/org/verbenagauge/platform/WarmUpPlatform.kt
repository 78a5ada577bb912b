package org.verbenagauge.platform

import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveChannel
import io.ktor.server.response.respondText
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.delay
import kotlinx.io.readByteArray
import java.util.Base64

private const val HOST = "127.0.0.1"
private const val SERVICE = "warm-up"
private const val LOOK_MILLIS = 20L
private const val HOLD_MILLIS = 100L

/** Store and worker of [warmUp], in memory: what an entry asks for, and no more of their rules. */
internal class WarmUpPlatform(
    private val port: Int,
) {
    private val server =
        embeddedServer(CIO, port = port, host = HOST) {
            intercept(ApplicationCallPipeline.Call) {
                val body = if (call.request.httpMethod == HttpMethod.Post) text(call) else ""
                val (status, answer) = answer(call, body)
                call.respondText(answer, status = status)
            }
        }
    private val rows = LinkedHashMap<Triple<String, String, String>, WireRow>()
    private var version = 0L

    /** Where it listens. */
    val address: String get() = "$HOST:$port"

    /** Starts with a configuration and one worker. */
    fun start() {
        val route = WireRoute("warm-up", HOST, PREFIX, SERVICE, maxAttempts = 2, anonymous = true)
        val configuration = WireConfig(1, listOf(route), listOf(WireService(SERVICE)))
        val capacity = WireAmount(cpu = 1_000, memMb = 1_000)
        val worker = WireServer(SERVICE, address, state = "ready", capacity = capacity, born = 1)
        write(row("op", "config", wireJson.encodeToString(WireConfig.serializer(), configuration)))
        write(row("servers", "worker", wireJson.encodeToString(WireServer.serializer(), worker)))
        server.start(wait = false)
    }

    /** Stops at once. */
    fun stop() {
        server.stop(0, 0)
    }

    private fun row(
        table: String,
        key: String,
        text: String,
    ) = WireRow(table, key = key, value = Base64.getEncoder().encodeToString(text.encodeToByteArray()))

    private suspend fun text(call: ApplicationCall) =
        call
            .receiveChannel()
            .readRemaining()
            .readByteArray()
            .decodeToString()

    private suspend fun answer(
        call: ApplicationCall,
        body: String,
    ): Pair<HttpStatusCode, String> {
        val query = call.request.queryParameters
        val table = query["Table"].orEmpty()
        return when (call.request.path()) {
            "/v1/rows-get" -> {
                val from = query["From"].orEmpty()
                page { it.table == table && it.part == query["part"].orEmpty() && it.key >= from && !it.deleted }
            }
            "/v1/rows-feed" -> feed(table, query["Dependencies"]?.toLong() ?: 0, query["WaitMs"]?.toLong() ?: 0)
            "/v1/rows-tx" -> transact(wireJson.decodeFromString(WireTransaction.serializer(), body))
            "/v1/hold" -> {
                delay(HOLD_MILLIS)
                val held = WireHeld(System.currentTimeMillis(), born = 1, emptyList(), emptyList())
                HttpStatusCode.OK to wireJson.encodeToString(WireHeld.serializer(), held)
            }
            else -> {
                val answer = WireOrderAnswer(System.currentTimeMillis())
                HttpStatusCode.OK to wireJson.encodeToString(WireOrderAnswer.serializer(), answer)
            }
        }
    }

    @Synchronized
    private fun page(isWanted: (WireRow) -> Boolean): Pair<HttpStatusCode, String> {
        val page = WireRows(rows.values.filter(isWanted).sortedBy { it.key }, rowVersion = version)
        return HttpStatusCode.OK to wireJson.encodeToString(WireRows.serializer(), page)
    }

    private suspend fun feed(
        table: String,
        after: Long,
        waitMillis: Long,
    ): Pair<HttpStatusCode, String> {
        var leftMillis = waitMillis
        while (leftMillis > 0 && newest(table) <= after) {
            delay(LOOK_MILLIS)
            leftMillis -= LOOK_MILLIS
        }
        return page { it.table == table && (it.rowVersion ?: 0) > after }
    }

    @Synchronized
    private fun newest(table: String): Long =
        rows.values.filter { it.table == table }.maxOfOrNull { it.rowVersion ?: 0 } ?: 0

    @Synchronized
    private fun transact(transaction: WireTransaction): Pair<HttpStatusCode, String> {
        val broken =
            transaction.expected
                .map { expected -> expected to (present(expected)?.rowVersion ?: 0) }
                .filter { (expected, found) -> (expected.rowVersion ?: 0) != found }
                .map { (expected, found) -> present(expected) ?: expected.copy(rowVersion = found) }
        if (broken.isNotEmpty()) {
            val conflict = wireJson.encodeToString(WireConflict.serializer(), WireConflict(broken))
            return HttpStatusCode.PreconditionFailed to conflict
        }
        version++
        transaction.write.forEach { rows[place(it)] = it.copy(rowVersion = version) }
        transaction.remove.forEach { rows[place(it)] = it.copy(rowVersion = version, deleted = true) }
        return HttpStatusCode.OK to wireJson.encodeToString(WireApplied.serializer(), WireApplied(version))
    }

    @Synchronized
    private fun write(row: WireRow) {
        version++
        rows[place(row)] = row.copy(rowVersion = version)
    }

    private fun present(row: WireRow): WireRow? = rows[place(row)]?.takeIf { !it.deleted }

    private fun place(row: WireRow) = Triple(row.table, row.part, row.key)

    companion object {
        /** Path of the queue. */
        const val PREFIX = "/warm-up/"

        /** Body of a job of one task. */
        fun job(): ByteArray {
            val step = WireStep(count = 1, cpu = 1, memMb = 1, estimatedMs = 1)
            val job = WireJob("warm-up", listOf(step))
            return wireJson.encodeToString(WireJob.serializer(), job).encodeToByteArray()
        }
    }
}
