package io.kumquatmill.configuration.edit

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.Plan

/** One change that an operator makes to the lists. */
sealed interface ListEdit {
    /** Adds [plan] or replaces the plan of the same name. */
    data class SetPlan(
        val plan: Plan,
    ) : ListEdit

    /** Removes a plan that no customer is on. */
    data class RemovePlan(
        val plan: PlanId,
    ) : ListEdit

    /** Adds [customer] or replaces the customer of the same workspace, with its keys. */
    data class SetCustomer(
        val customer: Customer,
    ) : ListEdit

    /** Removes a customer; its keys stop working. */
    data class RemoveCustomer(
        val workspace: WorkspaceId,
    ) : ListEdit

    /** Lets the key of [hash] act for [workspace]. */
    data class GrantKey(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : ListEdit

    /** Stops the key of [hash] from acting for [workspace]. */
    data class WithdrawKey(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : ListEdit
}
