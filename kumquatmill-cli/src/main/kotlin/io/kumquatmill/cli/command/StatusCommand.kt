package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.fleet.HostReport
import io.kumquatmill.cli.output.Table

/** Prints the state of each host. */
internal class StatusCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "status", "Prints the state of each host: configuration in force, lifecycle, shares and requests in flight.") {
    private val isWithShares by option("--shares", help = "Print the shares of each limit instead").flag()

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val reader = fleetReader(options).bind()
            val reports = reader.reports(reader.hosts().bind())
            print(options, reports) { if (isWithShares) shareTable(reports) else statusTable(reports) }
        }
}

/** Returns a row for each host. */
internal fun statusTable(reports: List<HostReport>): Table =
    Table(
        listOf("HOST", "ADDRESS", "LIFECYCLE", "REVISION", "EPOCH", "STANDING", "IN-FLIGHT", "QUEUED"),
        reports.map(::statusRow),
    )

private fun statusRow(report: HostReport): List<String> {
    val status = report.status ?: return listOf(report.host, report.address, "unreachable", "-", "-", "-", "-", "-")
    return listOf(
        report.host,
        report.address,
        status.lifecycle,
        status.configurationRevision.toString(),
        status.rosterEpoch.toString(),
        if (status.hasStanding) "yes" else "no",
        status.inFlightRequests.toString(),
        status.queuedRequests.toString(),
    )
}

private fun shareTable(reports: List<HostReport>): Table =
    Table(
        listOf("LIMIT", "HOST", "UNITS", "TOTAL-UNITS"),
        reports
            .flatMap { report ->
                report.status
                    ?.shares
                    .orEmpty()
                    .map { report.host to it }
            }.sortedBy { (_, share) -> share.limit }
            .map { (host, share) -> listOf(share.limit, host, share.units.toString(), share.totalUnits.toString()) },
    )
