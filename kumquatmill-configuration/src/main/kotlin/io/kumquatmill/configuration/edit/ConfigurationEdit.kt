package io.kumquatmill.configuration.edit

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.Plan

/** A change that an operator makes to one entry of the configuration. */
sealed interface ConfigurationEdit {
    /** Adds [plan] or replaces the plan with the same identifier. */
    data class SetPlan(
        val plan: Plan,
    ) : ConfigurationEdit

    /** Removes a plan that is not assigned to any customer. */
    data class RemovePlan(
        val plan: PlanId,
    ) : ConfigurationEdit

    /** Adds [customer] or replaces the customer with the same workspace, including its keys. */
    data class SetCustomer(
        val customer: Customer,
    ) : ConfigurationEdit

    /** Removes a customer and thereby withdraws its keys. */
    data class RemoveCustomer(
        val workspace: WorkspaceId,
    ) : ConfigurationEdit

    /** Grants the key with [hash] to [workspace], so that requests with the key are attributed to it. */
    data class GrantKey(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : ConfigurationEdit

    /** Withdraws the key with [hash] from [workspace], so that requests with the key are refused. */
    data class WithdrawKey(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : ConfigurationEdit
}
