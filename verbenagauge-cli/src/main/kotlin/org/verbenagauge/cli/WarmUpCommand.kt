package org.verbenagauge.cli

import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import org.verbenagauge.platform.warmUp
import kotlin.system.exitProcess

@OptIn(ExperimentalCli::class)
internal class WarmUpCommand : Subcommand("warm-up", "Load what an entry needs and end; for the archive of classes") {
    override fun execute() {
        warmUp()
        exitProcess(ExitCode.OK.number)
    }
}
