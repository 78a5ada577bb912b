package org.verbenagauge.entry.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest

private const val KEEPALIVE_MILLIS = 20L

private data class MomentCase(
    val name: String,
    val sentAtMillis: Long,
)

// A message to a peer that was queued when the next keepalive was due was lost, and what waited for it waited for ever.
@OptIn(ExperimentalCoroutinesApi::class)
class MessageAtKeepaliveTest :
    FunSpec({
        context("a message is received once, whenever it is queued") {
            withData(
                nameFn = { it.name },
                MomentCase("before the keepalive is due", KEEPALIVE_MILLIS - 1),
                MomentCase("at the moment in which it is due", KEEPALIVE_MILLIS),
                MomentCase("after it was due", KEEPALIVE_MILLIS + 1),
            ) { case ->
                runTest {
                    val queue = Channel<String>(1)
                    launch {
                        delay(case.sentAtMillis)
                        queue.send("message")
                    }
                    val received =
                        async {
                            // Begins after the sender, so that at one moment the message comes first.
                            val first = queue.receiveWithin(KEEPALIVE_MILLIS)
                            listOfNotNull(first, first ?: queue.receiveWithin(KEEPALIVE_MILLIS)).distinct()
                        }
                    received.await() shouldBe listOf("message")
                }
            }
        }
    })
