package io.kumquatmill.configuration.model

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import kotlinx.serialization.Serializable

/** A workspace with its plan and the hashes of the keys that operators granted to it. */
@Serializable
data class Customer(
    val workspace: WorkspaceId,
    val plan: PlanId,
    val keyHashes: Set<KeyHash> = emptySet(),
)
