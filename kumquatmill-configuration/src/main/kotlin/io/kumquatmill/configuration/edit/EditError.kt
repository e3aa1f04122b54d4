package io.kumquatmill.configuration.edit

import arrow.core.NonEmptyList
import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.validation.ListError

/** Why an edit does not fit the lists; [message] names the remedy. */
sealed interface EditError {
    val message: String

    /** The plan to remove is not listed. */
    data class NoSuchPlan(
        val plan: PlanId,
    ) : EditError {
        override val message: String = "plan '$plan' is not listed: check the name with the list command"
    }

    /** Customers are on the plan to remove. */
    data class PlanInUse(
        val plan: PlanId,
        val workspaces: List<WorkspaceId>,
    ) : EditError {
        override val message: String = "plan '$plan' is used by $workspaces: move them to another plan first"
    }

    /** The workspace is not listed. */
    data class NoSuchWorkspace(
        val workspace: WorkspaceId,
    ) : EditError {
        override val message: String = "workspace '$workspace' is not listed: check the name or add the customer first"
    }

    /** The key to withdraw is not granted to the workspace. */
    data class KeyNotGranted(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : EditError {
        override val message: String =
            "key hash '$hash' is not granted to workspace '$workspace': it does not work there; check the workspace"
    }

    /** The lists would not be valid after the edit. */
    data class InvalidResult(
        val errors: NonEmptyList<ListError>,
    ) : EditError {
        override val message: String = errors.joinToString("; ") { it.message }
    }
}
