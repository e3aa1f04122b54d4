package io.kumquatmill.configuration.edit

import arrow.core.NonEmptyList
import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.validation.ValidationError

/** Reason why an edit cannot be applied to a configuration; [message] includes the remedy. */
sealed interface EditError {
    val message: String

    /** The plan to remove does not exist. */
    data class NoSuchPlan(
        val plan: PlanId,
    ) : EditError {
        override val message: String = "plan '$plan' does not exist: check the name with the list command"
    }

    /** The plan to remove is assigned to customers. */
    data class PlanInUse(
        val plan: PlanId,
        val workspaces: List<WorkspaceId>,
    ) : EditError {
        override val message: String = "plan '$plan' is used by workspaces $workspaces: assign them another plan first"
    }

    /** No customer has this workspace. */
    data class NoSuchWorkspace(
        val workspace: WorkspaceId,
    ) : EditError {
        override val message: String = "workspace '$workspace' does not exist: check the name or add the customer first"
    }

    /** The key to withdraw is not granted to the workspace. */
    data class KeyNotGranted(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : EditError {
        override val message: String =
            "key hash '$hash' is not granted to workspace '$workspace', so there is nothing to withdraw: check the workspace"
    }

    /** The configuration would be invalid after the edit. */
    data class InvalidResult(
        val errors: NonEmptyList<ValidationError>,
    ) : EditError {
        override val message: String = errors.joinToString("; ") { it.message }
    }
}
