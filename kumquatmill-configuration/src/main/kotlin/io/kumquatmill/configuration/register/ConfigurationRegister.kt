package io.kumquatmill.configuration.register

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.model.VersionedLists
import io.kumquatmill.configuration.validation.validate

/**
 * Holds the lists in force on this host; their revision never goes backwards.
 *
 * Feed it every change of the lists from the store and every push of a peer, in any order.
 */
class ConfigurationRegister {
    /** The lists in force, or null until the first ones have arrived. */
    var snapshot: ConfigurationSnapshot? = null
        private set

    /** Revision of the lists in force, or 0 until the first ones have arrived. */
    val revision: Long
        get() = snapshot?.revision ?: NO_LISTS

    /** Takes [versioned] from a peer if they are newer; returns whether they are now in force. */
    fun offer(versioned: VersionedLists): Either<RegisterError, Boolean> {
        if (versioned.revision <= revision) return false.right()
        return validate(versioned.lists)
            .mapLeft { RegisterError.InvalidLists(versioned.revision, it) }
            .map { accept(versioned) }
    }

    /** Takes the [value] that the store has since [storeRevision], null if deleted; returns whether it is now in force. */
    fun offerStored(
        value: String?,
        storeRevision: Long,
    ): Either<RegisterError, Boolean> {
        if (storeRevision <= revision) return false.right()
        if (value == null) return RegisterError.Deleted(storeRevision, revision).left()
        return decodeDocument(value)
            .mapLeft { RegisterError.InvalidDocument(storeRevision, revision, it) }
            .map { accept(VersionedLists(storeRevision, it.lists)) }
    }

    private fun accept(versioned: VersionedLists): Boolean {
        snapshot = ConfigurationSnapshot(versioned)
        return true
    }

    companion object {
        /** Revision of a register that has no lists yet. */
        const val NO_LISTS: Long = 0
    }
}
