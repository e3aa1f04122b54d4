package io.kumquatmill.bench.command

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.enum
import io.kumquatmill.bench.capacity.ConfigurationCost
import io.kumquatmill.bench.capacity.DecisionCost
import io.kumquatmill.bench.capacity.FleetCost
import io.kumquatmill.bench.capacity.LedgerCost
import io.kumquatmill.bench.capacity.LookUpCost
import io.kumquatmill.bench.capacity.PeerReportCost
import io.kumquatmill.bench.capacity.PlacementCost
import io.kumquatmill.bench.capacity.Series
import io.kumquatmill.bench.capacity.capacityJson
import io.kumquatmill.bench.capacity.capacityTable

/** Measures each role of an entry host for several sizes and extrapolates by linear regression. */
internal class CapacityCommand : CliktCommand(name = "capacity") {
    private val output by option("--output", help = "Output format")
        .enum<OutputFormat> {
            it.name.lowercase()
        }.default(OutputFormat.TABLE)
    private val roles by option(
        "--role",
        help = "Role to measure; repeatable; all by default",
    ).choice(ROLES).multiple()

    override fun help(context: Context): String =
        "Measures memory, messages, store calls and CPU time of each role for several sizes; extrapolates to current and target sizes."

    override fun run() {
        val series = roles.ifEmpty { ROLES.values }.flatMap { it() }
        echo(if (output == OutputFormat.JSON) capacityJson(series) else capacityTable(series))
    }

    private companion object {
        val ROLES: Map<String, () -> List<Series>> =
            linkedMapOf(
                "look-up" to { LookUpCost().measure() },
                "entry-proxy" to { DecisionCost().measure() },
                "configuration" to { ConfigurationCost().measure() },
                "share-ledger" to { LedgerCost().measure() },
                "membership" to { FleetCost().measure() },
                "placement" to { PlacementCost().measure() },
                "peer-reports" to { PeerReportCost().measure() },
            )
    }
}
