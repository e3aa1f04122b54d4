package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.fleet.HostReport

/** Prints the state of the hosts again and again, the busiest first. */
internal class TopCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "top", "Prints the hosts again and again, the busiest first.") {
    private val intervalMs by option("--interval-ms", help = "Time between two prints").long().restrictTo(min = 1).default(1_000)
    private val count by option("--count", help = "Number of prints; 0 goes on until the command is ended").int().default(0)

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val reader = fleetReader(options).bind()
            var printed = 0
            while (count == 0 || printed < count) {
                if (printed > 0) environment.sleep(intervalMs)
                val reports = reader.reports(reader.hosts().bind()).sortedByDescending(::load)
                print(options, reports) { statusTable(reports) }
                printed += 1
            }
        }

    private fun load(report: HostReport): Int {
        val status = report.status ?: return -1
        return status.inFlightRequests + status.queuedRequests
    }
}
