package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import java.net.Socket

private const val SLOTS = 8

class CallerLeavesTest :
    FunSpec({
        test("given a waiting request, when its caller closes the connection, then it never runs and others go on") {
            FaultyEndpoint(EndpointFault.LATE).use { endpoint ->
                LoopbackEntry.start(listOf(endpoint.port)).use { loopback ->
                    coroutineScope {
                        val running = List(SLOTS) { async { loopback.send("inspections", "lot $it") } }
                        eventually { endpoint.readBodies.size == SLOTS }
                        val socket = Socket("127.0.0.1", loopback.callerPort)
                        socket.getOutputStream().write(rawJob("left").encodeToByteArray())
                        eventually { loopback.queued() == 1 }
                        socket.close()
                        eventually { loopback.answers("caller-cancelled") == 1 }
                        val last = async { loopback.send("inspections", "last") }
                        endpoint.release()
                        running.awaitAll().map { it.reason } shouldBe List(SLOTS) { "served" }
                        last.await().reason shouldBe "served"
                    }
                    endpoint.readBodies shouldNotContain "left"
                    loopback.entry.stop()
                }
            }
        }

        test("given a running request, when its caller closes the connection, then it runs to its end") {
            FaultyEndpoint(EndpointFault.LATE).use { endpoint ->
                LoopbackEntry.start(listOf(endpoint.port)).use { loopback ->
                    val socket = Socket("127.0.0.1", loopback.callerPort)
                    socket.getOutputStream().write(rawJob("left").encodeToByteArray())
                    eventually { endpoint.readBodies.size == 1 }
                    socket.close()
                    endpoint.release()
                    eventually { loopback.answers("served") == 1 }
                    loopback.entry.stop()
                }
            }
        }
    })

private fun rawJob(body: String) =
    "POST /v1/queues/inspections/jobs HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ${demoKey("growers")}\r\n" +
        "Content-Length: ${body.length}\r\n\r\n$body"
