package io.kumquatmill.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.options.versionOption
import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.terminal.Terminal
import io.kumquatmill.cli.command.DrainCommand
import io.kumquatmill.cli.command.DrainsCommand
import io.kumquatmill.cli.command.ExplainCommand
import io.kumquatmill.cli.command.RedactingLocalization
import io.kumquatmill.cli.command.StatusCommand
import io.kumquatmill.cli.command.TopCommand
import io.kumquatmill.cli.command.UndrainCommand
import io.kumquatmill.cli.command.WaitInForceCommand
import io.kumquatmill.cli.command.WhereCommand
import io.kumquatmill.cli.command.customerCommands
import io.kumquatmill.cli.command.keyCommands
import io.kumquatmill.cli.command.planCommands
import io.kumquatmill.cli.error.ExitCode

private const val HELP_WIDTH = 100

/** Root command of the operator command-line tool. */
class Kumquatctl internal constructor() : CliktCommand(name = "kumquatctl") {
    init {
        versionOption(version = Kumquatctl::class.java.`package`.implementationVersion ?: "development")
        context {
            terminal = Terminal(ansiLevel = AnsiLevel.NONE, width = HELP_WIDTH, interactive = false)
            localization = RedactingLocalization
        }
    }

    override fun help(context: Context): String = "Edits the plans and customers of a kumquatmill fleet, and monitors and drains its hosts."

    override fun helpEpilog(context: Context): String =
        "Exit codes: " + ExitCode.entries.joinToString("; ") { "${it.code} ${it.description}" } + "."

    override fun run() = Unit
}

/** Returns the root command with all subcommands, which use [environment]. */
fun kumquatctl(environment: CommandEnvironment = CommandEnvironment.system): CliktCommand =
    Kumquatctl().subcommands(
        planCommands(environment),
        customerCommands(environment),
        keyCommands(environment),
        StatusCommand(environment),
        TopCommand(environment),
        WhereCommand(environment),
        ExplainCommand(environment),
        WaitInForceCommand(environment),
        DrainCommand(environment),
        UndrainCommand(environment),
        DrainsCommand(environment),
    )
