package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.int
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.edit.readConfiguration
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.Table
import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.configuration.edit.ConfigurationEdit
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan

/** Returns the commands that list and edit the plans. */
internal fun planCommands(environment: CommandEnvironment): CommandGroup =
    CommandGroup("plan", "Lists and edits plans: the rate, burst and routes that their workspaces may use.")
        .subcommands(PlanListCommand(environment), PlanSetCommand(environment), PlanRemoveCommand(environment))

private class PlanListCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "list", "Lists all plans.") {
    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val stored = openStore(options).bind().readConfiguration().bind()
            print(options, stored.configuration.plans) { table(stored.configuration.plans) }
        }

    private fun table(plans: List<Plan>): Table =
        Table(
            listOf("PLAN", "RATE-PER-S", "BURST", "WEIGHT", "ROUTES"),
            plans.map { plan ->
                listOf(
                    plan.id.value,
                    plan.ratePerS.toString(),
                    plan.burst.toString(),
                    plan.weight.toString(),
                    plan.routes.joinToString(","),
                )
            },
        )
}

private class PlanSetCommand(
    environment: CommandEnvironment,
) : EditCommand(environment, "set", "Adds a plan or changes the given fields of an existing one.") {
    private val plan by argument(help = "Name of the plan")
    private val ratePerS by option("--rate-per-s", help = "Sustained requests per second, over all hosts").double()
    private val burst by option("--burst", help = "Maximum number of requests in a burst").int()
    private val weight by option("--weight", help = "Relative weight in queues when capacity is scarce").int()
    private val routes by option("--route", help = "Route that the plan permits; repeatable, replaces all existing routes").multiple()

    override fun buildEdit(configuration: OperatorConfiguration): Either<CliError, ConfigurationEdit> {
        val id = PlanId(plan)
        val current = configuration.plans.find { it.id == id }
        val newRatePerS = ratePerS ?: current?.ratePerS
        val newBurst = burst ?: current?.burst
        val newRoutes = routes.map(::RouteId).toSet().ifEmpty { current?.routes.orEmpty() }
        if (newRatePerS == null || newBurst == null || newRoutes.isEmpty()) {
            return CliError.Usage("plan '$plan' does not exist yet: give --rate-per-s, --burst and --route to add it").left()
        }
        return ConfigurationEdit.SetPlan(Plan(id, newRatePerS, newBurst, newRoutes, weight ?: current?.weight ?: 1)).right()
    }
}

private class PlanRemoveCommand(
    environment: CommandEnvironment,
) : EditCommand(environment, "remove", "Removes a plan; fails while a customer uses it.") {
    private val plan by argument(help = "Name of the plan")

    override fun buildEdit(configuration: OperatorConfiguration): Either<CliError, ConfigurationEdit> =
        ConfigurationEdit.RemovePlan(PlanId(plan)).right()
}
