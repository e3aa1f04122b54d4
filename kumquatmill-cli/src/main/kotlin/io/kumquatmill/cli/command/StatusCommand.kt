package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.raise.either
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.fleet.HostReport
import io.kumquatmill.cli.output.Table

/** Prints the status of each host, or its share of each limit. */
internal class StatusCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "status", "Prints the status of each host: lifecycle, configuration in force, requests and shares.") {
    private val printShares by option("--shares", help = "Print each host's share of each limit instead").flag()

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val reader = fleetReader(options).bind()
            val reports = reader.fetchReports(reader.listHosts().bind())
            print(options, reports) { if (printShares) shareTable(reports) else statusTable(reports) }
        }
}

/** Returns a table with one row per host. */
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
