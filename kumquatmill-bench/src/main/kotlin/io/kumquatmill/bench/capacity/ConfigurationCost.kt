package io.kumquatmill.bench.capacity

import io.kumquatmill.bench.fleet.FleetSpec
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

/** Measures the size of the encoded operator configuration and the time that a host needs to apply a new one. */
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
        recordSize(Sizes.target.workspaces)
        return collector.series()
    }

    private fun measureAt(workspaces: Int) {
        val text = recordSize(workspaces)
        val currentConfiguration = CurrentConfiguration()
        val decodeMs =
            (1L..RUNS).map { revision ->
                measureTime { check(currentConfiguration.updateFromStore(text, revision).isRight()) { "the configuration was rejected" } }
                    .toDouble(DurationUnit.MILLISECONDS)
            }
        collector.add("decode, check and compile", "ms of a core", workspaces, decodeMs.median())
        val applyMs = (1..RUNS).map { run -> applyMs(workspaces, run) }
        collector.add("apply to the share ledger", "ms of a core", workspaces, applyMs.median())
    }

    private fun recordSize(workspaces: Int): String {
        val configuration = FleetSpec(hosts = 1, workspaces = workspaces).operatorConfiguration()
        val text = encodeDocument(ConfigurationDocument(configuration.plans, configuration.customers))
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
