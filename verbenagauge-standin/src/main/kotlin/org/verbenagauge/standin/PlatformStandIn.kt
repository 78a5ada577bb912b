package org.verbenagauge.standin

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import org.verbenagauge.entry.model.sha256Hex
import org.verbenagauge.entry.state.store.ActRequest
import org.verbenagauge.entry.state.store.InstanceAction
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ListedInstance
import org.verbenagauge.entry.state.store.ReadRequest
import org.verbenagauge.entry.state.store.Row
import org.verbenagauge.entry.state.store.Transaction
import org.verbenagauge.entry.state.store.WriteOutcome
import java.io.ByteArrayOutputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentSkipListMap
import java.util.zip.GZIPOutputStream

/** Stand-in for the platform: table service, object store and instance list over HTTP, all in memory. */
public class PlatformStandIn {
    /** Rows of the table service. */
    public val table: MemoryTable = MemoryTable()

    private val objects = ConcurrentSkipListMap<String, ByteArray>()
    private val instances = ConcurrentHashMap<String, ListedInstance>()

    /** While true, every call is answered with 503 and has no effect. */
    @Volatile public var down: Boolean = false

    /** Time from a reboot until the instance is live again; null for one that never comes back. */
    @Volatile public var rebootMillis: Long? = 0

    /** Sees each reboot before it takes effect. */
    @Volatile public var onReboot: (instanceId: String) -> Unit = {}

    private val operationIds = ConcurrentHashMap.newKeySet<String>()
    private val backAtNanos = ConcurrentHashMap<String, Long>()

    /** Adds or replaces an instance of the list. */
    public fun put(instance: ListedInstance) {
        instances[instance.id] = instance
    }

    /** Creates the HTTP server; port 0 takes a free port. */
    public fun server(
        host: String,
        port: Int,
    ): EmbeddedServer<*, *> = embeddedServer(CIO, port = port, host = host) { routes() }

    private fun Application.routes() {
        routing {
            tableRoutes()
            objectRoutes()
            instanceRoutes()
        }
    }

    private fun Route.tableRoutes() {
        post("/v1/table/read") {
            call.whenUp {
                val request = json.decodeFromString(ReadRequest.serializer(), call.receiveText())
                call.respondRows(table.read(request.keys))
            }
        }
        get("/v1/table/scan") {
            call.whenUp {
                val limit = call.query("limit").toInt()
                call.respondRows(table.scan(call.query("prefix"), call.query("after"), limit))
            }
        }
        post("/v1/table/transact") {
            call.whenUp {
                val transaction = json.decodeFromString(Transaction.serializer(), call.receiveText())
                when (val outcome = table.transact(transaction)) {
                    is WriteOutcome.Conflict -> call.respondRows(outcome.rows, HttpStatusCode.Conflict)
                    else -> call.respond(HttpStatusCode.OK)
                }
            }
        }
    }

    private fun Route.objectRoutes() {
        get("/v1/objects") {
            call.whenUp {
                val prefix = call.query("prefix")
                val names =
                    objects
                        .tailMap(maxOf(prefix, call.query("after")), true)
                        .keys
                        .filter { it > call.query("after") && it.startsWith(prefix) }
                        .take(call.query("limit").toInt())
                call.respondJson(json.encodeToString(ListSerializer(String.serializer()), names))
            }
        }
        get("/v1/objects/{name...}") {
            call.whenUp {
                val content = objects[call.objectName()]
                if (content == null) call.respond(HttpStatusCode.NotFound) else call.respondBytes(content)
            }
        }
        put("/v1/objects/{name...}") {
            call.whenUp {
                val previous = objects.putIfAbsent(call.objectName(), call.receive<ByteArray>())
                call.respond(if (previous == null) HttpStatusCode.Created else HttpStatusCode.Conflict)
            }
        }
    }

    private fun Route.instanceRoutes() {
        get("/v1/instances") {
            call.whenUp {
                endReboots()
                val listed = instances.values.sortedBy { it.id }
                call.respondTagged(json.encodeToString(ListSerializer(ListedInstance.serializer()), listed))
            }
        }
        post("/v1/instances/{id}/actions") {
            call.whenUp {
                val request = json.decodeFromString(ActRequest.serializer(), call.receiveText())
                val id = call.parameters["id"].orEmpty()
                val known = instances[id]
                if (known != null && operationIds.add(request.operationId)) act(known, request.action)
                call.respond(if (known == null) HttpStatusCode.NotFound else HttpStatusCode.OK)
            }
        }
    }

    private fun act(
        instance: ListedInstance,
        action: InstanceAction,
    ) {
        when (action) {
            InstanceAction.DRAIN -> put(instance.copy(phase = InstancePhase.LEAVING))
            InstanceAction.UNDRAIN -> put(instance.copy(phase = InstancePhase.LIVE))
            InstanceAction.REBOOT -> reboot(instance)
            InstanceAction.CHECKPOINT, InstanceAction.STOP_TASKS -> Unit
        }
    }

    private fun reboot(instance: ListedInstance) {
        onReboot(instance.id)
        put(instance.copy(phase = InstancePhase.REBOOTING))
        rebootMillis?.let { backAtNanos[instance.id] = System.nanoTime() + it * NANOS_PER_MILLI }
    }

    private fun endReboots() {
        val now = System.nanoTime()
        backAtNanos.entries.removeIf { (id, backAt) ->
            val isBack = now - backAt >= 0
            if (isBack) instances.computeIfPresent(id) { _, instance -> instance.booted() }
            isBack
        }
    }

    private fun ListedInstance.booted() = copy(phase = InstancePhase.LIVE, bootCount = bootCount + 1)

    private suspend fun ApplicationCall.whenUp(body: suspend () -> Unit) {
        if (down) respond(HttpStatusCode.ServiceUnavailable) else body()
    }

    private fun ApplicationCall.query(name: String): String = request.queryParameters[name].orEmpty()

    private fun ApplicationCall.objectName(): String = parameters.getAll("name").orEmpty().joinToString("/")

    private suspend fun ApplicationCall.respondRows(
        rows: List<Row>,
        status: HttpStatusCode = HttpStatusCode.OK,
    ) = respondJson(json.encodeToString(ListSerializer(Row.serializer()), rows), status)

    private suspend fun ApplicationCall.respondTagged(text: String) {
        val tag = "\"${sha256Hex(text)}\""
        response.headers.append(HttpHeaders.ETag, tag)
        if (request.headers[HttpHeaders.IfNoneMatch] == tag) {
            respond(HttpStatusCode.NotModified)
        } else if (request.headers[HttpHeaders.AcceptEncoding] == "gzip") {
            response.headers.append(HttpHeaders.ContentEncoding, "gzip")
            respondBytes(gzip(text), ContentType.Application.Json)
        } else {
            respondJson(text)
        }
    }

    private fun gzip(text: String): ByteArray {
        val bytes = ByteArrayOutputStream()
        GZIPOutputStream(bytes).use { it.write(text.encodeToByteArray()) }
        return bytes.toByteArray()
    }

    private suspend fun ApplicationCall.respondJson(
        text: String,
        status: HttpStatusCode = HttpStatusCode.OK,
    ) = respondText(text, ContentType.Application.Json, status)

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        val json = Json { encodeDefaults = true }
    }
}
