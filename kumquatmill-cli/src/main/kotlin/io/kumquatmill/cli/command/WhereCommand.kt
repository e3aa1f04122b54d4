package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.fleet.EntryHosts
import io.kumquatmill.cli.fleet.FleetHost
import io.kumquatmill.cli.key.CallerKey
import io.kumquatmill.cli.output.Table

/** Asks a host which hosts a caller should use. */
internal class WhereCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "where", "Prints which hosts a caller with the given key is sent to.") {
    private val keyFile by option("--key-file", help = KEY_FILE_HELP).path()

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val key = environment.readKey(keyFile).bind()
            val hosts = fleetReader(options).bind().hosts().bind()
            val answer = lookUp(options, hosts, key).bind()
            print(options, answer) { table(answer) }
        }

    /** Asks one host after the other until one answers. */
    private fun lookUp(
        options: ResolvedOptions,
        hosts: List<FleetHost>,
        key: CallerKey,
    ): Either<CliError, EntryHosts> {
        val api = environment.hostApi(options.callTimeoutMs)
        var result: Either<CliError, EntryHosts> = CliError.NoHost("none is listed").left()
        for (host in hosts) {
            result = api.lookUp(host.address, key)
            if (result.leftOrNull() !is CliError.NoHost) break
        }
        return result
    }

    private fun table(answer: EntryHosts): Table {
        val best = answer.hosts.map { it to "use" }
        val alternates = answer.alternates.map { it to "alternate" }
        return Table(
            listOf("HOST", "REGION", "ADDRESS", "ROLE", "CACHE-MS"),
            (best + alternates).map { (host, role) ->
                listOf(host.host, host.region, host.address.toString(), role, answer.cacheMs.toString())
            },
        )
    }
}
