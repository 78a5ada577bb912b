package org.verbenagauge.entry

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.verbenagauge.entry.logging.Event
import org.verbenagauge.entry.logging.EventLog

private data class FailureCase(
    val name: String,
    val failure: () -> Throwable?,
)

@OptIn(ExperimentalCoroutinesApi::class)
class SupervisionTest :
    FunSpec({
        context("a part of an entry runs again") {
            withData(
                nameFn = { it.name },
                FailureCase("after an error that nothing expects") { IllegalStateException("broken") },
                // Guards against entries that are ready and useless, since one of their parts has ended for good.
                FailureCase("after an error of the virtual machine") { OutOfMemoryError("Java heap space") },
                FailureCase("after a part of it was cancelled") { CancellationException("gone") },
                FailureCase("after it ended") { null },
            ) { case ->
                runTest {
                    var runs = 0
                    var told = 0
                    val log = EventLog("a") { if (it == Event.CHILD_RESTARTED) told++ }
                    val part =
                        child("part") {
                            if (++runs == 3) awaitCancellation()
                            case.failure()?.let { throw it }
                        }
                    val running = backgroundScope.launch { supervise(part, log) }
                    advanceTimeBy(2_000)
                    runs shouldBe 3
                    told shouldBe if (case.failure() == null) 0 else 2
                    running.isActive shouldBe true
                    running.cancel()
                }
            }
        }
    })
