package io.kumquatmill.configuration.model

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import kotlinx.serialization.Serializable

/** A workspace, the plan it is on, and the hashes of the keys that operators granted it. */
@Serializable
data class Customer(
    val workspace: WorkspaceId,
    val plan: PlanId,
    val keyHashes: Set<KeyHash> = emptySet(),
)
