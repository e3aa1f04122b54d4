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

/** A command that does something, with the options that all of them share. */
internal abstract class LeafCommand(
    protected val environment: CommandEnvironment,
    name: String,
    private val helpText: String,
) : CliktCommand(name) {
    private val commonOptions by CommonOptions()

    init {
        context { localization = ArgumentsUnprinted }
    }

    override fun help(context: Context): String = helpText

    final override fun run() {
        commonOptions
            .resolve()
            .fold({ it.left() }, { execute(it) })
            .onLeft(::fail)
    }

    /** Does the work of the command. */
    protected abstract fun execute(options: ResolvedOptions): Either<CliError, Unit>

    /** Prints [value] as JSON, or [table] of it. */
    protected inline fun <reified T> print(
        options: ResolvedOptions,
        value: T,
        table: () -> Table,
    ) {
        val text = if (options.output == OutputFormat.JSON) outputJson.encodeToString(value) else table().render()
        echo(text)
    }

    /** Opens the store. */
    protected fun openStore(options: ResolvedOptions): Either<CliError, StoreClient> =
        options.requireStore().map { environment.openStore(it, options.callTimeoutMs) }

    /** Returns a reader of the hosts that the options name, or else of those in the store. */
    protected fun fleetReader(options: ResolvedOptions): Either<CliError, FleetReader> {
        val api = environment.hostApi(options.callTimeoutMs)
        if (options.hosts.isNotEmpty()) {
            return FleetReader(FleetSource.Named(options.hosts), api).right()
        }
        return openStore(options).map { FleetReader(FleetSource.Store(it), api) }
    }

    private fun fail(error: CliError): Nothing {
        echo("kumquatctl: ${error.message}", err = true)
        throw ProgramResult(error.exitCode.code)
    }
}

/** A command that only holds other commands. */
internal class CommandGroup(
    name: String,
    private val helpText: String,
) : CliktCommand(name) {
    init {
        context { localization = ArgumentsUnprinted }
    }

    override fun help(context: Context): String = helpText

    override fun run() = Unit
}
