package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.fleet.FleetHost
import io.kumquatmill.cli.fleet.FleetReader
import io.kumquatmill.cli.fleet.HostReport
import io.kumquatmill.cli.fleet.laggingHosts
import io.kumquatmill.cli.output.Table
import kotlinx.serialization.Serializable

/** Waits until every live host has a configuration revision, or a newer one, in force. */
internal class WaitInForceCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "wait-in-force", "Waits until a configuration revision is in force on every live host.") {
    private val revision by argument(help = "Revision printed by an edit command").long()
    private val timeoutMs by option("--timeout-ms", help = "Maximum time to wait").long().restrictTo(min = 0).default(10_000)

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val reports = awaitInForce(fleetReader(options).bind()).bind()
            val lagging = laggingHosts(reports, revision)
            val states = reports.map { InForceState(it.host, it.status?.configurationRevision, isInForce = it !in lagging) }
            print(options, states) { table(states) }
            if (reports.isEmpty() || lagging.isNotEmpty()) {
                CliError.HostsLagging(revision, lagging.map { it.host }).left().bind()
            }
        }

    /** Polls the hosts until none lags or the timeout has passed; while the store is down, the last known host list is used. */
    private fun awaitInForce(reader: FleetReader): Either<CliError, List<HostReport>> {
        val deadlineMs = environment.clock.nowMs() + timeoutMs
        var hosts: Either<CliError, List<FleetHost>> = reader.listHosts()
        while (true) {
            val reports = hosts.map(reader::fetchReports)
            val isInForce = reports.getOrNull().orEmpty().let { it.isNotEmpty() && laggingHosts(it, revision).isEmpty() }
            if (isInForce || environment.clock.nowMs() >= deadlineMs) {
                return reports
            }
            environment.sleep(POLL_INTERVAL_MS)
            val refreshed = reader.listHosts()
            hosts = if (refreshed.isRight()) refreshed else hosts
        }
    }

    private fun table(states: List<InForceState>): Table =
        Table(
            listOf("HOST", "REVISION", "STATE"),
            states.map { state ->
                listOf(state.host, state.revision?.toString() ?: "-", if (state.isInForce) "in-force" else "lagging")
            },
        )

    private companion object {
        const val POLL_INTERVAL_MS = 100L
    }
}

/**
 * State of a host with respect to the awaited revision.
 *
 * @property revision revision in force on the host, or null if its status could not be fetched.
 * @property isInForce whether the awaited revision or a newer one is in force.
 */
@Serializable
internal data class InForceState(
    val host: String,
    val revision: Long?,
    val isInForce: Boolean,
)
