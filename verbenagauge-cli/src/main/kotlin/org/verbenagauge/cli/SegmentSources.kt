package org.verbenagauge.cli

import org.verbenagauge.entry.account.ACCOUNT_PREFIX
import org.verbenagauge.entry.account.SegmentSource
import org.verbenagauge.entry.state.store.ReadOutcome
import org.verbenagauge.entry.state.store.httpPlatform
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.invariantSeparatorsPathString
import kotlin.io.path.isRegularFile

private const val TIMEOUT_MILLIS = 10_000L
private const val LIST_LIMIT = 1_000

/** Segments below [directory], whose files are named as the objects. */
internal fun directorySegments(directory: Path): SegmentSource =
    object : SegmentSource {
        override suspend fun names(): List<String> =
            Files.walk(directory).use { paths ->
                paths
                    .filter { it.isRegularFile() }
                    .map { directory.relativize(it).invariantSeparatorsPathString }
                    .filter { it.startsWith(ACCOUNT_PREFIX) }
                    .sorted()
                    .toList()
            }

        override suspend fun read(name: String): ByteArray? =
            try {
                Files.readAllBytes(directory.resolve(name))
            } catch (e: IOException) {
                null
            }
    }

/** Segments in the object store of the platform at [url]. */
internal fun platformSegments(url: String): SegmentSource =
    object : SegmentSource {
        private val objects = httpPlatform(url, TIMEOUT_MILLIS).objects

        override suspend fun names(): List<String> {
            val names = mutableListOf<String>()
            while (true) {
                val page =
                    when (val read = objects.list(ACCOUNT_PREFIX, names.lastOrNull().orEmpty(), LIST_LIMIT)) {
                        is ReadOutcome.Unavailable -> throw IOException("list of '$ACCOUNT_PREFIX': ${read.cause}")
                        is ReadOutcome.Found -> read.value
                    }
                if (page.isEmpty()) return names
                names += page
            }
        }

        override suspend fun read(name: String): ByteArray? =
            when (val read = objects.get(name)) {
                is ReadOutcome.Unavailable -> throw IOException("object '$name': ${read.cause}")
                is ReadOutcome.Found -> read.value
            }
    }
