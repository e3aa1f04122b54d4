package io.kumquatmill.cli.command

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.right
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import io.kumquatmill.cli.CommandEnvironment
import io.kumquatmill.cli.edit.readConfiguration
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.cli.output.Table
import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.edit.ConfigurationEdit
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.OperatorConfiguration

/** Returns the commands that list and edit the customers. */
internal fun customerCommands(environment: CommandEnvironment): CommandGroup =
    CommandGroup("customer", "Lists and edits customers: workspaces with their plans and key hashes.")
        .subcommands(CustomerListCommand(environment), CustomerSetCommand(environment), CustomerRemoveCommand(environment))

private class CustomerListCommand(
    environment: CommandEnvironment,
) : LeafCommand(environment, "list", "Lists all customers.") {
    override fun execute(options: ResolvedOptions): Either<CliError, Unit> =
        either {
            val stored = openStore(options).bind().readConfiguration().bind()
            print(options, stored.configuration.customers) { table(stored.configuration.customers) }
        }

    private fun table(customers: List<Customer>): Table =
        Table(
            listOf("WORKSPACE", "PLAN", "KEY-HASHES"),
            customers.map { customer ->
                listOf(customer.workspace.value, customer.plan.value, customer.keyHashes.joinToString(","))
            },
        )
}

private class CustomerSetCommand(
    environment: CommandEnvironment,
) : EditCommand(environment, "set", "Adds a customer or changes its plan; existing keys are kept.") {
    private val workspace by argument(help = "Name of the workspace")
    private val plan by option("--plan", help = "Name of the plan").required()

    override fun buildEdit(configuration: OperatorConfiguration): Either<CliError, ConfigurationEdit> {
        val id = WorkspaceId(workspace)
        val current = configuration.customers.find { it.workspace == id }
        return ConfigurationEdit.SetCustomer(Customer(id, PlanId(plan), current?.keyHashes.orEmpty())).right()
    }
}

private class CustomerRemoveCommand(
    environment: CommandEnvironment,
) : EditCommand(environment, "remove", "Removes a customer; its keys stop working.") {
    private val workspace by argument(help = "Name of the workspace")

    override fun buildEdit(configuration: OperatorConfiguration): Either<CliError, ConfigurationEdit> =
        ConfigurationEdit.RemoveCustomer(WorkspaceId(workspace)).right()
}
