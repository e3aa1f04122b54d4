package io.kumquatmill.configuration.validation

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash

/** Violation found in a configuration; [message] names the entry, the value found, the expected value and the remedy. */
sealed interface ValidationError {
    val message: String

    /** Several plans have the same identifier. */
    data class DuplicatePlan(
        val plan: PlanId,
        val count: Int,
    ) : ValidationError {
        override val message: String = "plan '$plan' is defined $count times, expected once: remove or rename the duplicates"
    }

    /** Several customers have the same workspace. */
    data class DuplicateWorkspace(
        val workspace: WorkspaceId,
        val count: Int,
    ) : ValidationError {
        override val message: String = "workspace '$workspace' is defined $count times, expected once: remove or rename the duplicates"
    }

    /** A customer refers to a plan that does not exist. */
    data class UnknownPlan(
        val workspace: WorkspaceId,
        val plan: PlanId,
        val knownPlans: List<PlanId>,
    ) : ValidationError {
        override val message: String =
            "workspace '$workspace' is on plan '$plan', expected one of $knownPlans: add the plan or choose an existing one"
    }

    /** The rate of a plan is not positive or exceeds the maximum. */
    data class RateOutOfBounds(
        val plan: PlanId,
        val ratePerS: Double,
    ) : ValidationError {
        override val message: String =
            "plan '$plan' has ratePerS $ratePerS, expected more than 0 and at most ${ConfigurationBounds.MAX_RATE_PER_S}: correct the rate"
    }

    /** The burst of a plan is less than one request or exceeds the maximum. */
    data class BurstOutOfBounds(
        val plan: PlanId,
        val burst: Int,
    ) : ValidationError {
        override val message: String =
            "plan '$plan' has burst $burst, expected 1 to ${ConfigurationBounds.MAX_BURST}: correct the burst"
    }

    /** The weight of a plan is out of bounds. */
    data class WeightOutOfBounds(
        val plan: PlanId,
        val weight: Int,
    ) : ValidationError {
        override val message: String =
            "plan '$plan' has weight $weight, expected 1 to ${ConfigurationBounds.MAX_WEIGHT}: correct the weight"
    }

    /** The [name] of an entry contains invalid characters or has an invalid length; [entry] tells which entry has it. */
    data class InvalidName(
        val entry: String,
        val name: String,
    ) : ValidationError {
        override val message: String =
            "$entry has the name '$name', expected 1 to ${ConfigurationBounds.MAX_NAME_LENGTH} of a-z A-Z 0-9 . _ - " +
                "starting with a letter or digit: rename it"
    }

    /** A key hash is not a SHA-256 digest in lower-case hexadecimal. */
    data class MalformedKeyHash(
        val workspace: WorkspaceId,
        val hash: KeyHash,
    ) : ValidationError {
        override val message: String =
            "workspace '$workspace' has the key hash '$hash', expected 64 characters of 0-9 a-f: grant the key with the command-line tool"
    }

    /** One key is granted to several workspaces, so its requests cannot be attributed to one of them. */
    data class DuplicateKeyGrant(
        val hash: KeyHash,
        val workspaces: List<WorkspaceId>,
    ) : ValidationError {
        override val message: String =
            "key hash '$hash' is granted to $workspaces, expected a single workspace: withdraw it from the others"
    }

    /** The encoded configuration does not fit into one value of the key-value store. */
    data class TooLarge(
        val sizeBytes: Int,
    ) : ValidationError {
        override val message: String =
            "the configuration takes $sizeBytes bytes, expected at most ${ConfigurationBounds.MAX_SIZE_BYTES}: " +
                "remove unused customers or keys"
    }
}
