package org.verbenagauge.entry.state.sim

import java.util.PriorityQueue
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.coroutines.resume
import kotlin.coroutines.startCoroutine
import kotlin.coroutines.suspendCoroutine

/** Runs what is due in virtual time, one thing at a time. */
internal class SimScheduler {
    private val queue = PriorityQueue<Due>(compareBy<Due> { it.atMillis }.thenBy { it.number })
    private var number = 0L

    /** True time of the simulation. */
    var nowMillis = 0L
        private set

    /** Runs [block] after [delayMillis]. */
    fun after(
        delayMillis: Long,
        block: () -> Unit,
    ) {
        queue += Due(nowMillis + delayMillis, number++, block)
    }

    /** Waits within a coroutine. */
    suspend fun pause(delayMillis: Long): Unit =
        suspendCoroutine { waiting -> after(delayMillis) { waiting.resume(Unit) } }

    /** Starts a coroutine that waits only by [pause]. */
    fun launch(block: suspend () -> Unit) =
        block.startCoroutine(kotlin.coroutines.Continuation(EmptyCoroutineContext) { it.getOrThrow() })

    /** Runs until [untilMillis], with [afterEach] after each step. */
    fun run(
        untilMillis: Long,
        afterEach: () -> Unit,
    ) {
        while (true) {
            val next = queue.peek()?.takeIf { it.atMillis <= untilMillis } ?: break
            queue.remove()
            nowMillis = next.atMillis
            next.block()
            afterEach()
        }
        nowMillis = untilMillis
    }

    private class Due(
        val atMillis: Long,
        val number: Long,
        val block: () -> Unit,
    )
}
