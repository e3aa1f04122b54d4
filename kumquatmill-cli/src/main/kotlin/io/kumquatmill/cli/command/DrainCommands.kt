package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.github.ajalt.clikt.parameters.arguments.argument
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.drain.DrainRequests
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.Table
import kotlinx.serialization.Serializable

private val namePattern = Regex("[A-Za-z0-9._-]{1,64}")

/** Asks for a host or an upstream to be drained. */
internal class DrainCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "drain", "Asks all hosts to send no new work to a host or an upstream.") {
    private val name by argument(help = "Name of a host or an upstream")

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            checkName(name).bind()
            DrainRequests(openStore(options).bind()).request(name).bind()
            val change = DrainState(name, isDrainRequested = true)
            print(options, change) { change.table() }
        }
}

/** Takes back a [DrainCommand]. */
internal class UndrainCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "undrain", "Takes a drain of a host or an upstream back.") {
    private val name by argument(help = "Name of a host or an upstream")

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            checkName(name).bind()
            DrainRequests(openStore(options).bind()).withdraw(name).bind()
            val change = DrainState(name, isDrainRequested = false)
            print(options, change) { change.table() }
        }
}

/** Prints what is asked to drain. */
internal class DrainsCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "drains", "Prints the hosts and upstreams that are asked to drain.") {
    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val names = DrainRequests(openStore(options).bind()).list().bind()
            val states = names.map { DrainState(it, isDrainRequested = true) }
            print(options, states) { Table(listOf("NAME"), names.map { listOf(it) }) }
        }
}

/** Whether a host or an upstream is asked to drain. */
@Serializable
internal data class DrainState(
    val name: String,
    val isDrainRequested: Boolean,
) {
    fun table(): Table = Table(listOf("NAME", "DRAIN"), listOf(listOf(name, if (isDrainRequested) "requested" else "none")))
}

private fun checkName(name: String): Either<CliError, Unit> =
    if (namePattern.matches(name)) {
        Unit.right()
    } else {
        CliError.Usage("'$name' is no name: use letters, digits, '.', '_' and '-'").left()
    }
