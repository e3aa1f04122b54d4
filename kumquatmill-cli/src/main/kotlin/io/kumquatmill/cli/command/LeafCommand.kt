package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.fleet.FleetReader
import io.kumquatmill.cli.fleet.FleetSource
import io.kumquatmill.cli.output.OutputFormat
import io.kumquatmill.cli.output.Table
import io.kumquatmill.cli.output.outputJson
import io.kumquatmill.store.StoreClient

/** Base class of commands that perform an action; adds the common options and maps errors to exit codes. */
internal abstract class LeafCommand(
    protected val environment: CommandEnvironment,
    name: String,
    private val helpText: String,
) : CliktCommand(name) {
    private val commonOptions by CommonOptions()

    init {
        context { localization = RedactingLocalization }
    }

    override fun help(context: Context): String = helpText

    final override fun run() {
        commonOptions
            .resolve()
            .fold({ it.left() }, { execute(it) })
            .onLeft(::exitWith)
    }

    /** Performs the action of the command; an error is printed and sets the exit code. */
    protected abstract fun execute(options: ResolvedOptions): Either<CliError, Unit>

    /** Prints [value] as JSON or [table] as text, depending on the output format in [options]. */
    protected inline fun <reified T> print(
        options: ResolvedOptions,
        value: T,
        table: () -> Table,
    ) {
        val text = if (options.output == OutputFormat.JSON) outputJson.encodeToString(value) else table().render()
        echo(text)
    }

    /** Opens a client of the store, or returns a usage error if its address is not set. */
    protected fun openStore(options: ResolvedOptions): Either<CliError, StoreClient> =
        options.requireStore().map { environment.openStore(it, options.callTimeoutMs) }

    /** Returns a reader of the hosts given by `--host`, or else of those in the store. */
    protected fun fleetReader(options: ResolvedOptions): Either<CliError, FleetReader> {
        val client = environment.createHostClient(options.callTimeoutMs)
        if (options.hosts.isNotEmpty()) {
            return FleetReader(FleetSource.Explicit(options.hosts), client).right()
        }
        return openStore(options).map { FleetReader(FleetSource.Store(it), client) }
    }

    private fun exitWith(error: CliError): Nothing {
        echo("kumquatctl: ${error.message}", err = true)
        throw ProgramResult(error.exitCode.code)
    }
}

/** A command that only groups subcommands. */
internal class CommandGroup(
    name: String,
    private val helpText: String,
) : CliktCommand(name) {
    init {
        context { localization = RedactingLocalization }
    }

    override fun help(context: Context): String = helpText

    override fun run() = Unit
}
