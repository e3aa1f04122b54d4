package io.kumquatmill.bench.policy

import io.kumquatmill.node.NodeSettings
import io.kumquatmill.scenario.virtual.NodeFactory
import io.kumquatmill.scenario.virtual.defaultNodeFactory

private const val UNREACHABLE_SAMPLE_COUNT = 1_000_000
private const val MIN_HOST_UTILIZATION = 1e-6

/** Policies that experiments can name, with their node factories. */
object Policies {
    /** The design with all its mechanisms. */
    const val FULL: String = "full"

    /** The simple policy that serves as the baseline. */
    const val NAIVE: String = "naive"

    private val byName: Map<String, NodeFactory> =
        mapOf(
            NAIVE to naiveNodeFactory(),
            FULL to defaultNodeFactory(),
            "no-loans" to defaultNodeFactory { it.withoutLoans() },
            "no-ejection" to defaultNodeFactory { it.withoutEjection() },
            "no-retries" to defaultNodeFactory { it.copy(retry = it.retry.copy(maxAttempts = 1)) },
            "no-rate-wait" to defaultNodeFactory { it.copy(request = it.request.copy(rateWaitMs = 0)) },
            "no-report-weight" to defaultNodeFactory { it.copy(selection = it.selection.copy(minLoadReportWeight = 1.0)) },
            "spread-callers" to defaultNodeFactory { it.copy(steering = it.steering.copy(maxHostUtilization = MIN_HOST_UTILIZATION)) },
        )

    /** Names of all policies. */
    val names: Set<String>
        get() = byName.keys

    /** Returns the node factory of the policy [name]; throws [IllegalArgumentException] if there is none. */
    fun nodeFactoryOf(name: String): NodeFactory = requireNotNull(byName[name]) { "unknown policy '$name': use one of $names" }

    private fun NodeSettings.withoutLoans() = copy(ledger = ledger.copy(requestRetryIntervalMs = Long.MAX_VALUE, loanDurationMs = 1))

    private fun NodeSettings.withoutEjection() =
        copy(health = health.copy(consecutiveFailuresToEject = UNREACHABLE_SAMPLE_COUNT, outlierMinSamples = UNREACHABLE_SAMPLE_COUNT))
}
