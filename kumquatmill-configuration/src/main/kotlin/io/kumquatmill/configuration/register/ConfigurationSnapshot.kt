package io.kumquatmill.configuration.register

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.configuration.model.VersionedLists

/**
 * The operators' lists of one revision, compiled for look-ups in constant time.
 *
 * Take a new snapshot from the [ConfigurationRegister] for each request, so that a withdrawn key stops at the next one.
 */
class ConfigurationSnapshot(
    val versioned: VersionedLists,
) {
    private val workspaceByKey: Map<KeyHash, WorkspaceId> =
        versioned.lists.customers
            .flatMap { customer -> customer.keyHashes.map { it to customer.workspace } }
            .toMap()

    private val planByWorkspace: Map<WorkspaceId, Plan> =
        versioned.lists.plans
            .associateBy { it.id }
            .let { plans -> versioned.lists.customers.associate { it.workspace to plans.getValue(it.plan) } }

    /** Revision of the entry in the key-value service. */
    val revision: Long
        get() = versioned.revision

    /** Plans by workspace, of all listed customers. */
    val plans: Map<WorkspaceId, Plan>
        get() = planByWorkspace

    /** Returns the workspace that the key of [hash] acts for, or null if the key is not granted. */
    fun workspaceOf(hash: KeyHash): WorkspaceId? = workspaceByKey[hash]

    /** Returns the plan of [workspace], or null if it is not listed. */
    fun planOf(workspace: WorkspaceId): Plan? = planByWorkspace[workspace]
}
