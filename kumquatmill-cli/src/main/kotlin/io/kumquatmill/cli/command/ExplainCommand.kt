package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.OutputFormat
import io.kumquatmill.cli.output.Table
import io.kumquatmill.common.explain.RequestExplanation

/** Asks a host where it would send a request now, and why. The request is not sent. */
internal class ExplainCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "explain", "Prints where the host given by --host would send a request now, and why, without sending it.") {
    private val httpHost by option("--http-host", metavar = "HOST", help = "Host header of the request").required()
    private val path by option("--path", help = "Path and query of the request").required()
    private val method by option("--method", help = "Method of the request; GET if not given")
    private val affinity by option("--affinity", metavar = "KEY", help = "Affinity key of the request")
    private val workspace by option("--workspace", metavar = "NAME", help = "Workspace whose key the request carries")

    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val address = ensureNotNull(options.hosts.singleOrNull()) { CliError.Usage(ONE_HOST_NEEDED) }
            val explanation = environment.createHostClient(options.callTimeoutMs).explain(address, parameters()).bind()
            print(options, explanation) { summaryTable(explanation) }
            if (options.output == OutputFormat.TABLE && explanation.candidates.isNotEmpty()) {
                echo()
                echo(candidateTable(explanation).render())
            }
        }

    private fun parameters(): Map<String, String> =
        listOf(
            RequestExplanation.HOST_PARAMETER to httpHost,
            RequestExplanation.PATH_PARAMETER to path,
            RequestExplanation.METHOD_PARAMETER to method,
            RequestExplanation.AFFINITY_PARAMETER to affinity,
            RequestExplanation.WORKSPACE_PARAMETER to workspace,
        ).mapNotNull { (name, value) -> value?.let { name to it } }.toMap()

    private fun summaryTable(explanation: RequestExplanation): Table {
        val route = explanation.route
        val rateLimit = explanation.rateLimit
        val outcome = explanation.outcome
        val rows =
            listOf(
                "host" to explanation.host,
                "route" to route?.name,
                "service" to route?.service,
                "kind" to route?.kind,
                "priority" to route?.priority,
                "target-latency-ms" to route?.targetLatencyMs,
                "timeout-ms" to route?.timeoutMs,
                "workspace" to rateLimit?.workspace,
                "rate-per-s" to rateLimit?.ratePerS,
                "burst" to rateLimit?.burst,
                "rate-limit" to rateLimit?.decision,
                "remaining-tokens" to rateLimit?.remainingTokens,
                "outcome" to outcome.action,
                "worker" to outcome.worker,
                "through-peer" to if (outcome.isThroughPeer) "yes" else null,
                "wait-ms" to outcome.waitMs,
                "status" to outcome.status,
                "reason" to outcome.reason,
                "message" to outcome.message,
                "retry-after-ms" to outcome.retryAfterMs,
            )
        return Table(listOf("FIELD", "VALUE"), rows.mapNotNull { (name, value) -> value?.let { listOf(name, it.toString()) } })
    }

    private fun candidateTable(explanation: RequestExplanation) =
        Table(
            listOf("WORKER", "ZONE", "USABLE", "REASON", "WAIT-MS", "SERVICE-MS", "LOAD-REPORT-AGE-MS"),
            explanation.candidates.map {
                listOf(
                    it.worker,
                    it.zone,
                    if (it.isUsable) "yes" else "no",
                    it.reason ?: "-",
                    it.waitMs.toString(),
                    it.serviceMs.toString(),
                    it.loadReportAgeMs?.toString() ?: "-",
                )
            },
        )

    private companion object {
        const val ONE_HOST_NEEDED = "explain asks one host: give --host IP:PORT once, with the port of its listener for peer state"
    }
}
