package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.FleetPlan
import io.kumquatmill.common.id.HostId
import io.kumquatmill.configuration.current.CurrentConfiguration
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.limits.ledger.LedgerSettings
import io.kumquatmill.limits.ledger.LimitId
import io.kumquatmill.limits.ledger.LimitSpec
import io.kumquatmill.limits.ledger.ShareLedger
import kotlin.time.DurationUnit
import kotlin.time.measureTime

/** Measures the value of both lists and what it costs a host to take a new one. */
internal class ConfigurationCost(
    private val workspaceCounts: List<Int> = Sizes.workspaceCounts,
) {
    private var collector = newCollector()

    private fun newCollector() =
        SeriesCollector("configuration", "workspaces", Sizes.today.workspaces.toDouble(), Sizes.target.workspaces.toDouble())

    fun measure(): List<Series> {
        measureAt(workspaceCounts.last())
        collector = newCollector()
        workspaceCounts.forEach(::measureAt)
        addSize(Sizes.target.workspaces)
        return collector.series()
    }

    private fun measureAt(workspaces: Int) {
        val text = addSize(workspaces)
        val register = CurrentConfiguration()
        val decodeMs =
            (1L..RUNS).map { revision ->
                measureTime { check(register.updateFromStore(text, revision).isRight()) { "the lists were not taken" } }
                    .toDouble(DurationUnit.MILLISECONDS)
            }
        collector.add("decode, check and compile", "ms of a core", workspaces, decodeMs.median())
        val applyMs = (1..RUNS).map { run -> applyMs(workspaces, run) }
        collector.add("apply to the share ledger", "ms of a core", workspaces, applyMs.median())
    }

    private fun addSize(workspaces: Int): String {
        val lists = FleetPlan(hosts = 1, workspaces = workspaces).lists()
        val text = encodeDocument(ConfigurationDocument(lists.plans, lists.customers))
        collector.add("size of the lists", "bytes", workspaces, text.length.toDouble())
        return text
    }

    private fun applyMs(
        workspaces: Int,
        run: Int,
    ): Double {
        val ledger = ShareLedger(HostId("entry-0"), LedgerSettings(), specs(workspaces, run))
        return measureTime { ledger.onLimits(0, specs(workspaces, run + 1)) }.toDouble(DurationUnit.MILLISECONDS)
    }

    private fun specs(
        workspaces: Int,
        ratePerS: Int,
    ): List<LimitSpec> = List(workspaces) { LimitSpec.Rate(LimitId("rate/workspace-$it"), ratePerS.toDouble(), ratePerS.toDouble()) }

    private fun List<Double>.median(): Double = sorted()[size / 2]

    private companion object {
        const val RUNS = 15
    }
}
