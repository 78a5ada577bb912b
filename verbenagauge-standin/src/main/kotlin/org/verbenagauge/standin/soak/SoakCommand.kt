package org.verbenagauge.standin.soak

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlin.system.exitProcess

@OptIn(ExperimentalCli::class)
internal class SoakCommand : Subcommand("soak", "Run entries as processes under faults, and print broken rules.") {
    private val seed by option(ArgType.Int, "seed", description = "Seed of traffic and faults").default(1)
    private val seconds by option(ArgType.Int, "seconds", description = "Time of faults").default(60)
    private val entries by option(ArgType.Int, "entries", description = "Number of entry processes").default(3)
    private val workers by option(ArgType.Int, "workers", description = "Number of workers").default(8)
    private val jobs by option(ArgType.Int, "jobs", description = "Jobs that are handed in each second").default(12)
    private val plays by option(
        ArgType.String,
        "plays",
        description = "Names of plays, with commas; all if left out",
    ).default("")

    private val classPath by option(ArgType.String, "classpath", description = "Classes that the entries run")

    override fun execute() {
        val names = plays.split(',').filter { it.isNotEmpty() }
        val standard = SoakSettings(seed.toLong(), seconds, entries, workers, jobs, names)
        val outcome = soak(standard.copy(classPath = classPath ?: standard.classPath))
        outcome.violations.zip(outcome.traces).forEach { (violation, trace) ->
            println("${violation.rule} ${violation.taskId} at ${violation.atMillis} ms: ${violation.detail}")
            trace.forEach { println("    $it") }
        }
        println(outcome.summary)
        exitProcess(if (outcome.violations.isEmpty()) 0 else 1)
    }
}
