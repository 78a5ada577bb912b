package org.verbenagauge.platform

import org.verbenagauge.http.HttpOutcome
import java.util.concurrent.FutureTask

/** Depths of nesting: read by any stack, ending a small one, and ending every one. */
internal val oddDepths = listOf(1_000, 20_000, 500_000)

/** JSON of one value that is nested [depth] deep, by the form of the nesting. */
internal fun nestedValues(depth: Int): Map<String, String> =
    mapOf(
        "arrays" to "[".repeat(depth) + "]".repeat(depth),
        "objects" to """{"a":""".repeat(depth) + "1" + "}".repeat(depth),
        "arrays in objects" to """{"a":[""".repeat(depth / 2) + "]}".repeat(depth / 2),
        "arrays that are not closed" to "[".repeat(depth),
        "objects that are not closed" to """{"a":""".repeat(depth),
    )

/** Runs [block] in a thread with the stack that production gives to threads, and returns what became of it. */
internal fun <T> onSmallStack(block: () -> T): Result<T> {
    val task = FutureTask { runCatching(block) }
    Thread(null, task, "small stack", 256 * 1024).start()
    return task.get()
}

/** An answer with status 200 and the body [text]. */
internal fun answered(text: String) = HttpOutcome.Answered(200, text.encodeToByteArray())
