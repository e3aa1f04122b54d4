package io.kumquatmill.configuration.validation

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash

/** Why the operators' lists were not accepted; [message] names the entry, what was found, what is expected and the remedy. */
sealed interface ListError {
    val message: String

    /** Two plans have the same name. */
    data class DuplicatePlan(
        val plan: PlanId,
        val count: Int,
    ) : ListError {
        override val message: String = "plan '$plan' is listed $count times, expected once: remove or rename the others"
    }

    /** Two customers have the same workspace. */
    data class DuplicateWorkspace(
        val workspace: WorkspaceId,
        val count: Int,
    ) : ListError {
        override val message: String = "workspace '$workspace' is listed $count times, expected once: remove or rename the others"
    }

    /** A customer is on a plan that is not listed. */
    data class UnknownPlan(
        val workspace: WorkspaceId,
        val plan: PlanId,
        val knownPlans: List<PlanId>,
    ) : ListError {
        override val message: String =
            "workspace '$workspace' is on plan '$plan', expected one of $knownPlans: add the plan or choose a listed one"
    }

    /** A plan's rate is not positive or too high. */
    data class RateOutOfBounds(
        val plan: PlanId,
        val ratePerS: Double,
    ) : ListError {
        override val message: String =
            "plan '$plan' has ratePerS $ratePerS, expected more than 0 and at most ${ListBounds.MAX_RATE_PER_S}: correct the rate"
    }

    /** A plan's burst is below one request or too high. */
    data class BurstOutOfBounds(
        val plan: PlanId,
        val burst: Int,
    ) : ListError {
        override val message: String =
            "plan '$plan' has burst $burst, expected 1 to ${ListBounds.MAX_BURST}: correct the burst"
    }

    /** A plan's weight is outside its bounds. */
    data class WeightOutOfBounds(
        val plan: PlanId,
        val weight: Int,
    ) : ListError {
        override val message: String =
            "plan '$plan' has weight $weight, expected 1 to ${ListBounds.MAX_WEIGHT}: correct the weight"
    }

    /** The name of an entry has characters or a length that names may not have. */
    data class BadName(
        val entry: String,
        val name: String,
    ) : ListError {
        override val message: String =
            "$entry has the name '$name', expected 1 to ${ListBounds.MAX_NAME_LENGTH} of a-z A-Z 0-9 . _ - " +
                "with a letter or digit first: rename it"
    }

    /** A key hash is not a SHA-256 in lower-case hexadecimal. */
    data class MalformedKeyHash(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : ListError {
        override val message: String =
            "workspace '$workspace' has the key hash '$hash', expected 64 characters of 0-9 a-f: grant the key by the command-line tool"
    }

    /** One key is granted to several workspaces, so a request could not be attributed. */
    data class KeyGrantedTwice(
        val hash: KeyHash,
        val workspaces: List<WorkspaceId>,
    ) : ListError {
        override val message: String =
            "key hash '$hash' is granted to $workspaces, expected one workspace: withdraw it from the others"
    }

    /** The lists do not fit into one value of the key-value service. */
    data class TooLarge(
        val sizeBytes: Int,
    ) : ListError {
        override val message: String =
            "the lists take $sizeBytes bytes, expected at most ${ListBounds.MAX_SIZE_BYTES}: remove customers or keys that are not used"
    }
}
