package org.verbenagauge.entry.state.store

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.network.sockets.ConnectTimeoutException
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsBytes
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.builtins.serializer
import kotlinx.serialization.json.Json
import java.io.ByteArrayInputStream
import java.io.IOException
import java.net.ConnectException
import java.util.zip.GZIPInputStream

private val platformJson = Json { ignoreUnknownKeys = true }

/** Body of a read request to the table service. */
@Serializable
public data class ReadRequest(
    val keys: List<String>,
)

/** Body of an action request to the instance service. */
@Serializable
public data class ActRequest(
    val action: InstanceAction,
    val operationId: String,
)

/** Creates clients of the platform's services at [baseUrl], each call bounded by [timeoutMillis]. */
public fun httpPlatform(
    baseUrl: String,
    timeoutMillis: Long,
): Platform {
    val http = PlatformHttp(baseUrl, timeoutMillis)
    return Platform(HttpTableService(http), HttpObjectStore(http), HttpInstanceService(http))
}

private class PlatformHttp(
    val baseUrl: String,
    private val timeoutMillis: Long,
) {
    val client =
        HttpClient(CIO) {
            expectSuccess = false
            engine {
                requestTimeout = 0
                endpoint { connectTimeout = timeoutMillis }
            }
        }

    suspend fun <T> read(call: suspend HttpClient.() -> ReadOutcome<T>): ReadOutcome<T> =
        try {
            withTimeout(timeoutMillis) { client.call() }
        } catch (e: TimeoutCancellationException) {
            ReadOutcome.Unavailable("no answer within $timeoutMillis ms")
        } catch (e: IOException) {
            ReadOutcome.Unavailable(e.toString())
        }

    suspend fun write(call: suspend HttpClient.() -> WriteOutcome): WriteOutcome =
        try {
            withTimeout(timeoutMillis) { client.call() }
        } catch (e: TimeoutCancellationException) {
            WriteOutcome.Unknown("no answer within $timeoutMillis ms")
        } catch (e: ConnectException) {
            WriteOutcome.Unavailable(e.toString())
        } catch (e: ConnectTimeoutException) {
            WriteOutcome.Unavailable(e.toString())
        } catch (e: IOException) {
            WriteOutcome.Unknown(e.toString())
        }
}

private suspend fun <T> HttpResponse.found(decode: (String) -> T): ReadOutcome<T> =
    if (status == HttpStatusCode.OK) {
        ReadOutcome.Found(decode(bodyAsText()))
    } else {
        ReadOutcome.Unavailable("status $status")
    }

private suspend fun HttpResponse.written(): WriteOutcome =
    when (status) {
        HttpStatusCode.OK, HttpStatusCode.Created -> WriteOutcome.Applied
        HttpStatusCode.Conflict -> WriteOutcome.Conflict(decodeRows(bodyAsText()))
        HttpStatusCode.ServiceUnavailable -> WriteOutcome.Unavailable("status $status")
        else -> WriteOutcome.Unknown("status $status")
    }

private fun decodeRows(text: String): List<Row> =
    if (text.isEmpty()) emptyList() else platformJson.decodeFromString(ListSerializer(Row.serializer()), text)

private class HttpTableService(
    private val http: PlatformHttp,
) : TableService {
    override suspend fun read(keys: List<String>): ReadOutcome<List<Row>> =
        http.read {
            post("${http.baseUrl}/v1/table/read") {
                header(HttpHeaders.ContentType, "application/json")
                setBody(platformJson.encodeToString(ReadRequest.serializer(), ReadRequest(keys)))
            }.found(::decodeRows)
        }

    override suspend fun scan(
        prefix: String,
        afterKey: String,
        limit: Int,
    ): ReadOutcome<List<Row>> =
        http.read {
            get("${http.baseUrl}/v1/table/scan") {
                parameter("prefix", prefix)
                parameter("after", afterKey)
                parameter("limit", limit)
            }.found(::decodeRows)
        }

    override suspend fun transact(transaction: Transaction): WriteOutcome =
        http.write {
            post("${http.baseUrl}/v1/table/transact") {
                header(HttpHeaders.ContentType, "application/json")
                setBody(platformJson.encodeToString(Transaction.serializer(), transaction))
            }.written()
        }
}

private class HttpObjectStore(
    private val http: PlatformHttp,
) : ObjectStore {
    override suspend fun putIfAbsent(
        name: String,
        content: ByteArray,
    ): WriteOutcome =
        http.write {
            put("${http.baseUrl}/v1/objects/$name") {
                header(HttpHeaders.IfNoneMatch, "*")
                setBody(content)
            }.written()
        }

    override suspend fun get(name: String): ReadOutcome<ByteArray?> =
        http.read {
            val response = get("${http.baseUrl}/v1/objects/$name")
            when (response.status) {
                HttpStatusCode.OK -> ReadOutcome.Found(response.bodyAsBytes())
                HttpStatusCode.NotFound -> ReadOutcome.Found(null)
                else -> ReadOutcome.Unavailable("status ${response.status}")
            }
        }

    override suspend fun list(
        prefix: String,
        afterName: String,
        limit: Int,
    ): ReadOutcome<List<String>> =
        http.read {
            get("${http.baseUrl}/v1/objects") {
                parameter("prefix", prefix)
                parameter("after", afterName)
                parameter("limit", limit)
            }.found { platformJson.decodeFromString(ListSerializer(String.serializer()), it) }
        }
}

private class TaggedList(
    val tag: String,
    val instances: List<ListedInstance>,
)

// The list is large and changes seldom: it is asked for by its tag, and compressed when it has changed.
private class HttpInstanceService(
    private val http: PlatformHttp,
) : InstanceService {
    @Volatile private var last: TaggedList? = null

    override suspend fun list(): ReadOutcome<List<ListedInstance>> =
        http.read {
            val known = last
            val response =
                get("${http.baseUrl}/v1/instances") {
                    header(HttpHeaders.AcceptEncoding, "gzip")
                    if (known != null) header(HttpHeaders.IfNoneMatch, known.tag)
                }
            when {
                known != null && response.status == HttpStatusCode.NotModified -> ReadOutcome.Found(known.instances)
                response.status == HttpStatusCode.OK -> ReadOutcome.Found(remember(response))
                else -> ReadOutcome.Unavailable("status ${response.status}")
            }
        }

    private suspend fun remember(response: HttpResponse): List<ListedInstance> {
        val bytes = response.bodyAsBytes()
        val plain = if (response.headers[HttpHeaders.ContentEncoding] == "gzip") gunzip(bytes) else bytes
        val listed = platformJson.decodeFromString(ListSerializer(ListedInstance.serializer()), plain.decodeToString())
        last = response.headers[HttpHeaders.ETag]?.let { TaggedList(it, listed) }
        return listed
    }

    private fun gunzip(bytes: ByteArray) = GZIPInputStream(ByteArrayInputStream(bytes)).use { it.readBytes() }

    override suspend fun act(
        instanceId: String,
        action: InstanceAction,
        operationId: String,
    ): WriteOutcome =
        http.write {
            post("${http.baseUrl}/v1/instances/$instanceId/actions") {
                header(HttpHeaders.ContentType, "application/json")
                setBody(platformJson.encodeToString(ActRequest.serializer(), ActRequest(action, operationId)))
            }.written()
        }
}
