package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.github.ajalt.clikt.parameters.arguments.argument
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.drain.DrainRequestStore
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.Table
import kotlinx.serialization.Serializable

private val namePattern = Regex("[A-Za-z0-9._-]{1,64}")

/** Requests that a host or an upstream is drained; idempotent. */
internal class DrainCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "drain", "Drains a host or an upstream: requests that all hosts send it no new work.") {
    private val name by argument(help = "Name of a host or an upstream")

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            validateName(name).bind()
            DrainRequestStore(openStore(options).bind()).request(name).bind()
            val state = DrainState(name, isDrainRequested = true)
            print(options, state) { state.table() }
        }
}

/** Cancels the request of a [DrainCommand]; idempotent. */
internal class UndrainCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "undrain", "Cancels the drain of a host or an upstream.") {
    private val name by argument(help = "Name of a host or an upstream")

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            validateName(name).bind()
            DrainRequestStore(openStore(options).bind()).cancel(name).bind()
            val state = DrainState(name, isDrainRequested = false)
            print(options, state) { state.table() }
        }
}

/** Lists the hosts and upstreams for which a drain is requested. */
internal class DrainsCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "drains", "Lists the hosts and upstreams for which a drain is requested.") {
    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val names = DrainRequestStore(openStore(options).bind()).list().bind()
            val states = names.map { DrainState(it, isDrainRequested = true) }
            print(options, states) { Table(listOf("NAME"), names.map { listOf(it) }) }
        }
}

/** Whether a drain is requested for the host or upstream [name]. */
@Serializable
internal data class DrainState(
    val name: String,
    val isDrainRequested: Boolean,
) {
    fun table(): Table = Table(listOf("NAME", "DRAIN"), listOf(listOf(name, if (isDrainRequested) "requested" else "none")))
}

private fun validateName(name: String): Either<CliError, Unit> =
    if (namePattern.matches(name)) {
        Unit.right()
    } else {
        CliError.Usage("'$name' is not a valid name: use 1 to 64 letters, digits, '.', '_' and '-'").left()
    }
