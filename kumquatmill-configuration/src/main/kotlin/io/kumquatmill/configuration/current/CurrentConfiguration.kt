package io.kumquatmill.configuration.current

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.model.VersionedConfiguration
import io.kumquatmill.configuration.validation.validate

/**
 * Holds the active configuration of this host; its revision never decreases.
 *
 * Updates from the store and from peers may arrive in any order.
 */
class CurrentConfiguration {
    /** The active configuration, or null until the first one has arrived. */
    var snapshot: ConfigurationSnapshot? = null
        private set

    /** Revision of the active configuration, or [INITIAL_REVISION] until the first one has arrived. */
    val revision: Long
        get() = snapshot?.revision ?: INITIAL_REVISION

    /**
     * Activates the configuration [versioned] of a peer if its revision is higher than the active one.
     *
     * Returns whether it was activated, or why it is invalid.
     */
    fun updateFromPeer(versioned: VersionedConfiguration): Either<ConfigurationUpdateError, Boolean> {
        if (versioned.revision <= revision) return false.right()
        return validate(versioned.configuration)
            .mapLeft { ConfigurationUpdateError.InvalidPeerConfiguration(versioned.revision, it) }
            .map { activate(versioned) }
    }

    /**
     * Activates the document [value] that was stored at [storeRevision] if this is higher than the active revision.
     *
     * A null [value] means that the entry was deleted. Returns whether the document was activated, or why it cannot be.
     */
    fun updateFromStore(
        value: String?,
        storeRevision: Long,
    ): Either<ConfigurationUpdateError, Boolean> {
        if (storeRevision <= revision) return false.right()
        if (value == null) return ConfigurationUpdateError.Deleted(storeRevision, revision).left()
        return decodeDocument(value)
            .mapLeft { ConfigurationUpdateError.InvalidDocument(storeRevision, revision, it) }
            .map { activate(VersionedConfiguration(storeRevision, it.configuration)) }
    }

    private fun activate(versioned: VersionedConfiguration): Boolean {
        snapshot = ConfigurationSnapshot(versioned)
        return true
    }

    companion object {
        /** Revision of a host that has no configuration yet. */
        const val INITIAL_REVISION: Long = 0
    }
}
