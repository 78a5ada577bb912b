package org.verbenagauge.entry.jobs.owner

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlinx.coroutines.SupervisorJob
import org.verbenagauge.entry.clock.Clock
import kotlin.coroutines.CoroutineContext
import kotlin.random.Random

/**
 * A single-threaded process in virtual time. It can be paused between any two of its steps: steps and timers that
 * become due during the pause run in a burst afterwards. Its monotonic clock either continues during a pause or stops,
 * as it does when a machine is suspended.
 *
 * @param wallBaseMillis wall clock of this machine at the start of the simulation, Unix time.
 * @param onFailure receives the uncaught exceptions of the coroutines.
 */
@OptIn(InternalCoroutinesApi::class)
internal class VirtualProcess(
    private val time: VirtualTime,
    private val random: Random,
    private val wallBaseMillis: Long,
    onFailure: (Throwable) -> Unit,
) : CoroutineDispatcher(),
    Delay,
    Clock {
    private class Timer(
        val dueMillis: Long,
        val action: () -> Unit,
    ) {
        var isCancelled = false
    }

    private class Pause(
        val sinceMillis: Long,
        val stopsMonotonicClock: Boolean,
    )

    private var pause: Pause? = null
    private var clockStoppedMillis = 0L
    private var stepsUntilPause = 0
    private var onPause: (() -> Unit)? = null
    private val deferredSteps = ArrayList<() -> Unit>()
    private val deferredTimers = ArrayList<Timer>()

    var isKilled = false
        private set

    /** Virtual time of the last start or end of a pause; in the future while the process is paused. */
    var undisturbedSinceMillis = time.nowMillis
        private set

    /** End of the latest pause that has begun, in virtual time; may be in the future. */
    var pausedUntilMillis = 0L
        private set

    /** Scope of the coroutines of this process. */
    val scope =
        CoroutineScope(this + SupervisorJob() + CoroutineExceptionHandler { _, e -> onFailure(e) })

    override fun monotonicMillis(): Long = MONOTONIC_BASE_MILLIS + time.nowMillis - clockStoppedMillis

    override fun wallMillis(): Long = wallBaseMillis + time.nowMillis

    /** Ends the process immediately; pending steps and timers are dropped. */
    fun kill() {
        isKilled = true
        deferredSteps.clear()
        deferredTimers.clear()
    }

    /** Pauses the process after [steps] more steps for [forMillis]; has no effect if it is paused at that time. */
    fun pauseAfter(
        steps: Int,
        forMillis: Long,
        stopsMonotonicClock: Boolean,
    ) {
        onPause = { beginPause(forMillis, stopsMonotonicClock) }
        stepsUntilPause = steps
        // Pauses an idle process too.
        time.after(MAX_WAIT_FOR_STEPS_MILLIS) { pauseNow() }
    }

    /** Begins the requested pause, if there is one. */
    fun pauseNow() {
        val begin = onPause ?: return
        onPause = null
        begin()
    }

    private fun beginPause(
        forMillis: Long,
        stopsMonotonicClock: Boolean,
    ) {
        if (isKilled || pause != null) return
        pause = Pause(time.nowMillis, stopsMonotonicClock)
        undisturbedSinceMillis = time.nowMillis + forMillis
        pausedUntilMillis = undisturbedSinceMillis
        time.after(forMillis, ::resume)
    }

    // Timers and answers run in either order, whichever became due first: a real process may see both orders.
    private fun resume() {
        val ended = pause ?: return
        if (isKilled) return
        pause = null
        if (ended.stopsMonotonicClock) clockStoppedMillis += time.nowMillis - ended.sinceMillis
        val steps = ArrayList(deferredSteps).also { deferredSteps.clear() }
        val timers = ArrayList(deferredTimers).also { deferredTimers.clear() }
        timers.sortBy { it.dueMillis }
        if (random.nextBoolean()) {
            timers.forEach(::fire)
            steps.forEach(::step)
        } else {
            steps.forEach(::step)
            timers.forEach(::fire)
        }
    }

    /** Runs [action] in this process now, or after the pause if it is paused. */
    fun step(action: () -> Unit) {
        if (isKilled) return
        if (onPause != null && stepsUntilPause-- <= 0) pauseNow()
        if (pause != null) deferredSteps += action else action()
    }

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (!isKilled) time.after(0) { step { block.run() } }
    }

    override fun scheduleResumeAfterDelay(
        timeMillis: Long,
        continuation: CancellableContinuation<Unit>,
    ) {
        schedule(Timer(monotonicMillis() + timeMillis) { with(continuation) { resumeUndispatched(Unit) } })
    }

    override fun invokeOnTimeout(
        timeMillis: Long,
        block: Runnable,
        context: CoroutineContext,
    ): DisposableHandle {
        val timer = Timer(monotonicMillis() + timeMillis) { block.run() }
        schedule(timer)
        return DisposableHandle { timer.isCancelled = true }
    }

    private fun schedule(timer: Timer) {
        time.after(timer.dueMillis - monotonicMillis()) { fire(timer) }
    }

    private fun fire(timer: Timer) {
        if (isKilled || timer.isCancelled) return
        if (onPause != null && stepsUntilPause-- <= 0) pauseNow()
        when {
            pause != null -> deferredTimers += timer
            monotonicMillis() < timer.dueMillis -> schedule(timer)
            else -> timer.action()
        }
    }

    private companion object {
        // Not zero: production code must not rely on a monotonic clock that starts at zero.
        const val MONOTONIC_BASE_MILLIS = 5_000_000L
        const val MAX_WAIT_FOR_STEPS_MILLIS = 60L
    }
}
