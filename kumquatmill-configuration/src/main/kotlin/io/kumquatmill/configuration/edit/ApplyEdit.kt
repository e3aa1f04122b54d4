package io.kumquatmill.configuration.edit

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.validation.validate

/** Returns this configuration with [edit] applied, or why the edit cannot be applied or makes the configuration invalid. */
fun OperatorConfiguration.applyEdit(edit: ConfigurationEdit): Either<EditError, OperatorConfiguration> =
    when (edit) {
        is ConfigurationEdit.SetPlan -> setPlan(edit).right()
        is ConfigurationEdit.RemovePlan -> removePlan(edit)
        is ConfigurationEdit.SetCustomer -> setCustomer(edit).right()
        is ConfigurationEdit.RemoveCustomer -> removeCustomer(edit)
        is ConfigurationEdit.GrantKey -> updateCustomer(edit.workspace) { it.copy(keyHashes = it.keyHashes + edit.hash).right() }
        is ConfigurationEdit.WithdrawKey -> updateCustomer(edit.workspace) { withdrawKey(it, edit) }
    }.flatMap { configuration -> validate(configuration).mapLeft(EditError::InvalidResult) }

private fun OperatorConfiguration.setPlan(edit: ConfigurationEdit.SetPlan): OperatorConfiguration =
    copy(plans = (plans.filterNot { it.id == edit.plan.id } + edit.plan).sortedBy { it.id })

private fun OperatorConfiguration.removePlan(edit: ConfigurationEdit.RemovePlan): Either<EditError, OperatorConfiguration> {
    val workspaces = customers.filter { it.plan == edit.plan }.map { it.workspace }
    return when {
        plans.none { it.id == edit.plan } -> EditError.NoSuchPlan(edit.plan).left()
        workspaces.isNotEmpty() -> EditError.PlanInUse(edit.plan, workspaces).left()
        else -> copy(plans = plans.filterNot { it.id == edit.plan }).right()
    }
}

private fun OperatorConfiguration.setCustomer(edit: ConfigurationEdit.SetCustomer): OperatorConfiguration =
    copy(customers = (customers.filterNot { it.workspace == edit.customer.workspace } + edit.customer).sortedBy { it.workspace })

private fun OperatorConfiguration.removeCustomer(edit: ConfigurationEdit.RemoveCustomer): Either<EditError, OperatorConfiguration> =
    if (customers.none { it.workspace == edit.workspace }) {
        EditError.NoSuchWorkspace(edit.workspace).left()
    } else {
        copy(customers = customers.filterNot { it.workspace == edit.workspace }).right()
    }

private fun withdrawKey(
    customer: Customer,
    edit: ConfigurationEdit.WithdrawKey,
): Either<EditError, Customer> =
    if (edit.hash in customer.keyHashes) {
        customer.copy(keyHashes = customer.keyHashes - edit.hash).right()
    } else {
        EditError.KeyNotGranted(customer.workspace, edit.hash).left()
    }

private fun OperatorConfiguration.updateCustomer(
    workspace: WorkspaceId,
    update: (Customer) -> Either<EditError, Customer>,
): Either<EditError, OperatorConfiguration> {
    val customer = customers.find { it.workspace == workspace } ?: return EditError.NoSuchWorkspace(workspace).left()
    return update(customer).map { updated -> copy(customers = customers.map { if (it == customer) updated else it }) }
}
