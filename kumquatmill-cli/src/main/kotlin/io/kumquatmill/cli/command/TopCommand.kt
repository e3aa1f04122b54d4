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

/** Repeatedly prints the status of the hosts, those with the most requests first. */
internal class TopCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "top", "Repeatedly prints the status of the hosts, busiest first.") {
    private val intervalMs by option("--interval-ms", help = "Time between updates").long().restrictTo(min = 1).default(1_000)
    private val count by option("--count", help = "Number of updates; 0 continues until interrupted").int().default(0)

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val reader = fleetReader(options).bind()
            var updateCount = 0
            while (count == 0 || updateCount < count) {
                if (updateCount > 0) environment.sleep(intervalMs)
                val reports = reader.fetchReports(reader.listHosts().bind()).sortedByDescending(::requestCount)
                print(options, reports) { statusTable(reports) }
                updateCount += 1
            }
        }

    /** Returns the number of requests on the host, or -1 if its status is unknown, which sorts it last. */
    private fun requestCount(report: HostReport): Int {
        val status = report.status ?: return -1
        return status.inFlightRequests + status.queuedRequests
    }
}
