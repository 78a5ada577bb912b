package org.verbenagauge.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.verbenagauge.entry.state.store.InstancePhase
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.httpPlatform

class InstanceListTest :
    FunSpec({
        test("given a list that was read, when it is read again, then it is the same until an instance changes") {
            val standIn = PlatformStandIn()
            val server = standIn.server("127.0.0.1", 0).start(wait = false)
            val port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            val instances = httpPlatform("http://127.0.0.1:$port", timeoutMillis = 10_000).instances
            val first = demoInstance(0, 1)
            standIn.put(first)
            repeat(2) { instances.list() shouldBe ReadOutcome.Found(listOf(first)) }
            val leaving = first.copy(phase = InstancePhase.LEAVING)
            standIn.put(leaving)
            repeat(2) { instances.list() shouldBe ReadOutcome.Found(listOf(leaving)) }
            standIn.down = true
            instances.list() shouldBe ReadOutcome.Unavailable("status 503 Service Unavailable")
        }
    })
