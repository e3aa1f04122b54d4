package io.kumquatmill.configuration.current

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.configuration.model.VersionedConfiguration

/**
 * The configuration of one revision, indexed for lookups in constant time.
 *
 * Read the snapshot of the [CurrentConfiguration] anew for each request, so that a withdrawn key is rejected from the next request.
 */
class ConfigurationSnapshot(
    val versioned: VersionedConfiguration,
) {
    private val workspaceByKey: Map<KeyHash, WorkspaceId> =
        versioned.configuration.customers
            .flatMap { customer -> customer.keyHashes.map { it to customer.workspace } }
            .toMap()

    private val planByWorkspace: Map<WorkspaceId, Plan> =
        versioned.configuration.plans
            .associateBy { it.id }
            .let { plans -> versioned.configuration.customers.associate { it.workspace to plans.getValue(it.plan) } }

    /** Revision at which the key-value store accepted this configuration. */
    val revision: Long
        get() = versioned.revision

    /** Plans of all customers by workspace. */
    val plans: Map<WorkspaceId, Plan>
        get() = planByWorkspace

    /** Returns the workspace to which the key with [hash] is granted, or null if there is none. */
    fun workspaceOf(hash: KeyHash): WorkspaceId? = workspaceByKey[hash]

    /** Returns the plan of [workspace], or null if no customer has this workspace. */
    fun planOf(workspace: WorkspaceId): Plan? = planByWorkspace[workspace]
}
