package org.verbenagauge.standin.jobs

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required

/** Team whose key the embedded entry takes. */
internal const val DEMO_TEAM = "traders"

@OptIn(ExperimentalCli::class)
internal class JobsCommand :
    Subcommand("jobs", "Run an entry that runs jobs on simulated workers, all in one process.") {
    private val port by option(ArgType.Int, "port", description = "Port for callers").required()
    private val workers by option(ArgType.Int, "workers", description = "Number of simulated workers").default(4)
    private val key by option(ArgType.String, "key", description = "Key of the team '$DEMO_TEAM'").required()

    override fun execute() {
        val entry = embeddedJobEntry(workers, key)
        entry.start("127.0.0.1", port)
        Thread.currentThread().join()
    }
}
