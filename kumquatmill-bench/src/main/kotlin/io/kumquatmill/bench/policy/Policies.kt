package io.kumquatmill.bench.policy

import io.kumquatmill.node.NodeSettings
import io.kumquatmill.scenario.virtual.NodeFactory
import io.kumquatmill.scenario.virtual.defaultNodeFactory

private const val MANY_SAMPLES = 1_000_000
private const val TINY_PART = 1e-6

/** Node factories by the name that experiments and tables use. */
object Policies {
    /** Name of the design with all its mechanisms. */
    const val FULL: String = "full"

    /** Name of the simple policy that the design is compared with. */
    const val NAIVE: String = "naive"

    private val byName: Map<String, NodeFactory> =
        mapOf(
            NAIVE to naiveNodes(),
            FULL to defaultNodeFactory(),
            "no-loans" to defaultNodeFactory { it.withoutLoans() },
            "no-ejection" to defaultNodeFactory { it.withoutEjection() },
            "no-retries" to defaultNodeFactory { it.copy(retry = it.retry.copy(maxAttempts = 1)) },
            "no-rate-wait" to defaultNodeFactory { it.copy(request = it.request.copy(rateWaitMs = 0)) },
            "no-report-weight" to defaultNodeFactory { it.copy(selection = it.selection.copy(minLoadReportWeight = 1.0)) },
            "spread-callers" to defaultNodeFactory { it.copy(steering = it.steering.copy(maxHostUtilization = TINY_PART)) },
        )

    /** Names of all policies. */
    val names: Set<String>
        get() = byName.keys

    /** Returns the nodes of the policy [name]. */
    fun nodesOf(name: String): NodeFactory = requireNotNull(byName[name]) { "there is no policy '$name': use one of $names" }

    private fun NodeSettings.withoutLoans() = copy(ledger = ledger.copy(requestRetryIntervalMs = Long.MAX_VALUE, loanDurationMs = 1))

    private fun NodeSettings.withoutEjection() =
        copy(health = health.copy(consecutiveFailuresToEject = MANY_SAMPLES, outlierMinSamples = MANY_SAMPLES))
}
