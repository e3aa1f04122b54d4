package io.kumquatmill.configuration.edit

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.validation.validate

/** Returns the lists after [edit], if it fits and the result is valid. */
fun OperatorLists.edited(edit: ListEdit): Either<EditError, OperatorLists> =
    when (edit) {
        is ListEdit.SetPlan -> setPlan(edit).right()
        is ListEdit.RemovePlan -> removePlan(edit)
        is ListEdit.SetCustomer -> setCustomer(edit).right()
        is ListEdit.RemoveCustomer -> removeCustomer(edit)
        is ListEdit.GrantKey -> updateCustomer(edit.workspace) { it.copy(keyHashes = it.keyHashes + edit.hash).right() }
        is ListEdit.WithdrawKey -> updateCustomer(edit.workspace) { withdrawKey(it, edit) }
    }.flatMap { lists -> validate(lists).mapLeft(EditError::InvalidResult) }

private fun OperatorLists.setPlan(edit: ListEdit.SetPlan): OperatorLists =
    copy(plans = (plans.filterNot { it.id == edit.plan.id } + edit.plan).sortedBy { it.id })

private fun OperatorLists.removePlan(edit: ListEdit.RemovePlan): Either<EditError, OperatorLists> {
    val users = customers.filter { it.plan == edit.plan }.map { it.workspace }
    return when {
        plans.none { it.id == edit.plan } -> EditError.NoSuchPlan(edit.plan).left()
        users.isNotEmpty() -> EditError.PlanInUse(edit.plan, users).left()
        else -> copy(plans = plans.filterNot { it.id == edit.plan }).right()
    }
}

private fun OperatorLists.setCustomer(edit: ListEdit.SetCustomer): OperatorLists =
    copy(customers = (customers.filterNot { it.workspace == edit.customer.workspace } + edit.customer).sortedBy { it.workspace })

private fun OperatorLists.removeCustomer(edit: ListEdit.RemoveCustomer): Either<EditError, OperatorLists> =
    if (customers.none { it.workspace == edit.workspace }) {
        EditError.NoSuchWorkspace(edit.workspace).left()
    } else {
        copy(customers = customers.filterNot { it.workspace == edit.workspace }).right()
    }

private fun withdrawKey(
    customer: Customer,
    edit: ListEdit.WithdrawKey,
): Either<EditError, Customer> =
    if (edit.hash in customer.keyHashes) {
        customer.copy(keyHashes = customer.keyHashes - edit.hash).right()
    } else {
        EditError.KeyNotGranted(customer.workspace, edit.hash).left()
    }

private fun OperatorLists.updateCustomer(
    workspace: WorkspaceId,
    update: (Customer) -> Either<EditError, Customer>,
): Either<EditError, OperatorLists> {
    val customer = customers.find { it.workspace == workspace } ?: return EditError.NoSuchWorkspace(workspace).left()
    return update(customer).map { updated -> copy(customers = customers.map { if (it == customer) updated else it }) }
}
