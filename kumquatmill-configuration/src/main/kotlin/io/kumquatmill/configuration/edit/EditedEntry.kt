package io.kumquatmill.configuration.edit

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan

/**
 * Value that the entry changed by an edit has in one version of the configuration.
 *
 * Edits conflict only if they change the same entry.
 */
sealed interface EditedEntry {
    /** [plan] is the plan named [id], or null if it does not exist. */
    data class OfPlan(
        val id: PlanId,
        val plan: Plan?,
    ) : EditedEntry

    /** [customer] is the customer with [workspace], or null if it does not exist. */
    data class OfCustomer(
        val workspace: WorkspaceId,
        val customer: Customer?,
    ) : EditedEntry

    /** [isGranted] tells whether the key with [hash] is granted to [workspace]. */
    data class OfKey(
        val workspace: WorkspaceId,
        val hash: KeyHash,
        val isGranted: Boolean,
    ) : EditedEntry
}

/** Returns the value that the entry changed by this edit has in [configuration]. */
fun ConfigurationEdit.entryIn(configuration: OperatorConfiguration): EditedEntry =
    when (this) {
        is ConfigurationEdit.SetPlan -> configuration.planEntry(plan.id)
        is ConfigurationEdit.RemovePlan -> configuration.planEntry(plan)
        is ConfigurationEdit.SetCustomer -> configuration.customerEntry(customer.workspace)
        is ConfigurationEdit.RemoveCustomer -> configuration.customerEntry(workspace)
        is ConfigurationEdit.GrantKey -> configuration.keyEntry(workspace, hash)
        is ConfigurationEdit.WithdrawKey -> configuration.keyEntry(workspace, hash)
    }

private fun OperatorConfiguration.planEntry(id: PlanId) = EditedEntry.OfPlan(id, plans.find { it.id == id })

private fun OperatorConfiguration.customerEntry(workspace: WorkspaceId) = EditedEntry.OfCustomer(workspace, customerOf(workspace))

private fun OperatorConfiguration.keyEntry(
    workspace: WorkspaceId,
    hash: KeyHash,
) = EditedEntry.OfKey(workspace, hash, customerOf(workspace)?.keyHashes.orEmpty().contains(hash))

private fun OperatorConfiguration.customerOf(workspace: WorkspaceId) = customers.find { it.workspace == workspace }
