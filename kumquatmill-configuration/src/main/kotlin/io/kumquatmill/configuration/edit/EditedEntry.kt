package io.kumquatmill.configuration.edit

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.Plan

/** Value, in some version of the lists, of the entry that an edit changes; two edits of different entries do not conflict. */
sealed interface EditedEntry {
    /** The plan named [id], or null if there is none. */
    data class OfPlan(
        val id: PlanId,
        val plan: Plan?,
    ) : EditedEntry

    /** The customer of [workspace], or null if there is none. */
    data class OfCustomer(
        val workspace: WorkspaceId,
        val customer: Customer?,
    ) : EditedEntry

    /** Whether the key of [hash] is granted to [workspace]. */
    data class OfKey(
        val workspace: WorkspaceId,
        val hash: KeyHash,
        val isGranted: Boolean,
    ) : EditedEntry
}

/** Returns the value that the entry changed by this edit has in [lists]. */
fun ListEdit.entryIn(lists: OperatorLists): EditedEntry =
    when (this) {
        is ListEdit.SetPlan -> lists.planEntry(plan.id)
        is ListEdit.RemovePlan -> lists.planEntry(plan)
        is ListEdit.SetCustomer -> lists.customerEntry(customer.workspace)
        is ListEdit.RemoveCustomer -> lists.customerEntry(workspace)
        is ListEdit.GrantKey -> lists.keyEntry(workspace, hash)
        is ListEdit.WithdrawKey -> lists.keyEntry(workspace, hash)
    }

private fun OperatorLists.planEntry(id: PlanId) = EditedEntry.OfPlan(id, plans.find { it.id == id })

private fun OperatorLists.customerEntry(workspace: WorkspaceId) = EditedEntry.OfCustomer(workspace, customerOf(workspace))

private fun OperatorLists.keyEntry(
    workspace: WorkspaceId,
    hash: KeyHash,
) = EditedEntry.OfKey(workspace, hash, customerOf(workspace)?.keyHashes.orEmpty().contains(hash))

private fun OperatorLists.customerOf(workspace: WorkspaceId) = customers.find { it.workspace == workspace }
