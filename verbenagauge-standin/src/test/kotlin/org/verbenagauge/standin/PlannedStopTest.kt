package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private const val REQUESTS = 12
private const val SLOTS = 8

class PlannedStopTest :
    FunSpec({
        test("given running and waiting requests, when the entry stops, then none is cut and new ones are not run") {
            FaultyEndpoint(EndpointFault.LATE).use { endpoint ->
                LoopbackEntry.start(listOf(endpoint.port)).use { loopback ->
                    coroutineScope {
                        val held = List(REQUESTS) { async { loopback.send("inspections", "lot $it") } }
                        eventually { endpoint.readBodies.size == SLOTS && loopback.queued() == REQUESTS - SLOTS }
                        val stop = launch { loopback.entry.stop() }
                        eventually { loopback.health() == "stopping" }
                        loopback.send("inspections", "new").reason shouldBe "entry-stopping"
                        endpoint.release()
                        held.awaitAll().map { it.reason } shouldBe List(REQUESTS) { "served" }
                        stop.join()
                    }
                    endpoint.readBodies.toSet() shouldBe List(REQUESTS) { "lot $it" }.toSet()
                }
            }
        }
    })
