package io.kumquatmill.bench.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.subcommands

/** Root command of the command line. */
internal class BenchCommand : CliktCommand(name = "bench") {
    override fun help(context: Context): String = "Measures the costs of kumquatmill and compares it with simpler policies."

    override fun run() = Unit
}

/** Returns the root command with all subcommands. */
internal fun bench(): CliktCommand = BenchCommand().subcommands(CapacityCommand(), CompareCommand(), CheckCommand(), OverloadCommand())
