package io.kumquatmill.bench.check

import io.kumquatmill.bench.capacity.DecisionCost
import io.kumquatmill.bench.capacity.FleetCost
import io.kumquatmill.bench.capacity.LedgerCost
import io.kumquatmill.bench.capacity.LookUpCost
import io.kumquatmill.bench.capacity.Series
import io.kumquatmill.bench.capacity.Sizes

private const val MAX_DECISION_US = 10.0
private const val MIN_LOOK_UPS_PER_S = 10_000.0
private const val MAX_STATE_BYTES = 134_217_728.0
private const val MAX_CONTROL_BYTES_PER_S = 6_144.0
private const val MAX_CORE_PERCENT = 4.0
private const val US_PER_S = 1e6

/** Measures the costs of one host, in fleets of [fleetSizes] hosts, and returns their bounds. */
internal fun costBounds(fleetSizes: List<Int>): List<Bound> =
    lookUpBounds() + decisionBounds() + ledgerBounds() + fleetSizes.flatMap(::fleetBounds)

private fun lookUpBounds(): List<Bound> {
    val series = LookUpCost(listOf(Sizes.target.blocks)).measure()
    return listOf(
        Bound("look-ups a second of a core, 840,000 blocks", US_PER_S / series.last("look-up"), MIN_LOOK_UPS_PER_S, isUpper = false),
        Bound("bytes of the block table, 840,000 blocks", series.last("state"), MAX_STATE_BYTES),
    )
}

private fun decisionBounds(): List<Bound> {
    val p99 = DecisionCost().measure().filter { it.quantity.endsWith("p99") }
    return p99.flatMap { series ->
        series.points.map { Bound("us of a decision at p99, ${it.size.toLong()} ${series.dimension}", it.value, MAX_DECISION_US) }
    }
}

private fun ledgerBounds(): List<Bound> =
    LedgerCost()
        .measure()
        .filter { it.unit == "bytes/s a host" }
        .map { series ->
            Bound(
                "bytes/s of the share ledger, at the target of ${series.dimension}",
                series.line.at(series.targetSize),
                MAX_CONTROL_BYTES_PER_S,
            )
        }

private fun fleetBounds(hosts: Int): List<Bound> {
    val series = FleetCost(listOf(hosts)).measure()
    val bytesPerS = series.last("peer bytes sent and received") + series.last("store bytes")
    return listOf(
        Bound("bytes/s of a host for membership and configuration, $hosts hosts", bytesPerS, MAX_CONTROL_BYTES_PER_S),
        Bound("% of a core for control, $hosts hosts", series.last("core used, steady"), MAX_CORE_PERCENT),
    )
}

private fun List<Series>.last(quantity: String): Double = first { it.quantity == quantity }.points.last().value
