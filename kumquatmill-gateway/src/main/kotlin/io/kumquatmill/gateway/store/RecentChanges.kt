package io.kumquatmill.gateway.store

import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreReply

/** The changes that this host learned of last, from the store or from a peer, without gaps, for peers that ask this host for them. */
internal class RecentChanges(
    private val maxChanges: Int = MAX_CHANGES,
    private val maxCharacters: Int = MAX_CHARACTERS,
) {
    private val changes = ArrayDeque<StoreChange>()
    private var characters = 0
    private var firstRevision = 0L
    private var answeredAtMs: Long? = null

    /** Highest revision for which the changes are known. */
    var revision = 0L
        private set

    /** Adds the [answer] of the store at [atMs] to a watch for changes after [afterRevision]. It replaces the others if it leaves a gap. */
    fun add(
        atMs: Long,
        afterRevision: Long,
        answer: StoreReply.Changes,
    ) {
        if (answeredAtMs == null || afterRevision != revision) {
            clear()
            firstRevision = afterRevision
        }
        answer.changes.forEach { change ->
            changes += change
            characters += change.size
        }
        revision = maxOf(afterRevision, answer.revision)
        answeredAtMs = atMs
        while (changes.size > maxChanges || characters > maxCharacters) {
            val removed = changes.removeFirst()
            characters -= removed.size
            firstRevision = removed.revision
        }
    }

    /** Forgets all changes, because this host's watch failed. */
    fun clear() {
        changes.clear()
        characters = 0
        answeredAtMs = null
    }

    /** Returns the changes after [afterRevision] up to [revision], or null if they are not all known. */
    fun after(
        nowMs: Long,
        afterRevision: Long,
    ): PeerChanges? {
        val ageMs = nowMs - (answeredAtMs ?: return null)
        if (afterRevision !in firstRevision..revision) return null
        return PeerChanges(revision, ageMs, changes.filter { it.revision > afterRevision })
    }

    private val StoreChange.size: Int
        get() = key.length + (value?.length ?: 0)

    private companion object {
        /** The changes of several seconds at 274 workers; a host that lacks more asks the store. */
        const val MAX_CHANGES = 1_000
        const val MAX_CHARACTERS = 256 * 1024
    }
}
