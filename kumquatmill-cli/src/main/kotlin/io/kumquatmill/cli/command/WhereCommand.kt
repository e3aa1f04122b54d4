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

/** Looks up which entry hosts a caller should use. */
internal class WhereCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "where", "Prints the entry hosts that a caller with the given key should use.") {
    private val keyFile by option("--key-file", help = KEY_FILE_HELP).path()

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val key = environment.readKey(keyFile).bind()
            val hosts = fleetReader(options).bind().listHosts().bind()
            val entryHosts = lookUpEntryHosts(options, hosts, key).bind()
            print(options, entryHosts) { table(entryHosts) }
        }

    /** Queries the hosts in order until one responds, also if it refuses the request. */
    private fun lookUpEntryHosts(
        options: ResolvedOptions,
        hosts: List<FleetHost>,
        key: CallerKey,
    ): Either<CliError, EntryHosts> {
        val client = environment.createHostClient(options.callTimeoutMs)
        var result: Either<CliError, EntryHosts> = CliError.NoHostReachable("none is registered").left()
        for (host in hosts) {
            result = client.lookUpEntryHosts(host.address, key)
            if (result.leftOrNull() !is CliError.NoHostReachable) break
        }
        return result
    }

    private fun table(entryHosts: EntryHosts): Table {
        val preferred = entryHosts.hosts.map { it to "use" }
        val alternates = entryHosts.alternates.map { it to "alternate" }
        return Table(
            listOf("HOST", "REGION", "ADDRESS", "ROLE", "CACHE-MS"),
            (preferred + alternates).map { (host, role) ->
                listOf(host.host, host.region, host.address.toString(), role, entryHosts.cacheMs.toString())
            },
        )
    }
}
