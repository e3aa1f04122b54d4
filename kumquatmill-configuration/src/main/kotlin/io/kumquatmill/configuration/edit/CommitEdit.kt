package io.kumquatmill.configuration.edit

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.json.ListsDocument
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.VersionedLists
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** Number of times an edit is tried while other operators' edits come first. */
const val DEFAULT_COMMIT_ATTEMPTS: Int = 8

/**
 * Commits [edit] to the key-value service by compare-and-swap and returns the lists as they are after it.
 *
 * An edit of another entry that came first is kept and this one tried again; a change of the same entry since [seen],
 * or since the first read, is reported. After a lost answer the lists are read back: [id] in them tells whether the
 * edit took effect, also when other edits came after it.
 */
fun commitEdit(
    edit: ListEdit,
    id: EditId,
    seen: OperatorLists? = null,
    maxAttempts: Int = DEFAULT_COMMIT_ATTEMPTS,
    execute: (StoreCall) -> Either<StoreError, StoreReply>,
): Either<CommitError, VersionedLists> = EditCommit(edit, id, seen, maxAttempts, execute).run()

private class EditCommit(
    private val edit: ListEdit,
    private val id: EditId,
    seen: OperatorLists?,
    private val maxAttempts: Int,
    private val execute: (StoreCall) -> Either<StoreError, StoreReply>,
) {
    private var seenEntry: EditedEntry? = seen?.let(edit::entryIn)
    private var unresolvedBase: StoredDocument? = null
    private var lostAnswer: String? = null

    fun run(): Either<CommitError, VersionedLists> {
        repeat(maxAttempts) {
            val result = attempt()
            if (result != null) return result
        }
        return giveUp()
    }

    /** Returns the result, or null if the edit has to be tried again. */
    private fun attempt(): Either<CommitError, VersionedLists>? =
        readDocument().fold(
            { error -> if (lostAnswer == null) error.left() else unknown(error.message) },
            { stored -> resolveOrWrite(stored) },
        )

    private fun resolveOrWrite(stored: StoredDocument): Either<CommitError, VersionedLists>? {
        if (id in stored.document.recentEdits) return stored.versioned.right()
        if (editsWereForgotten(stored)) return unknown("more than ${ListsDocument.MAX_RECENT_EDITS} edits came after it")
        val current = edit.entryIn(stored.document.lists)
        val seen = seenEntry ?: current.also { seenEntry = it }
        if (seen != current) return CommitError.EntryChanged(seen, current).left()
        return stored.document.lists
            .edited(edit)
            .fold({ CommitError.NotApplicable(it).left() }, { write(stored, it) })
    }

    /** After a lost answer, tells whether so many edits followed that this one may no longer be recorded. */
    private fun editsWereForgotten(stored: StoredDocument): Boolean {
        val base = unresolvedBase ?: return false
        val lastSeen = base.document.recentEdits.lastOrNull()
        val isFull = stored.document.recentEdits.size == ListsDocument.MAX_RECENT_EDITS
        return isFull && stored.revision != base.revision && lastSeen !in stored.document.recentEdits
    }

    private fun write(
        stored: StoredDocument,
        lists: OperatorLists,
    ): Either<CommitError, VersionedLists>? {
        val value = encodeDocument(stored.document.withEdit(id, lists))
        return execute(StoreCall.CompareAndSwap(ListsDocument.KEY, stored.revision, value)).fold(
            { error -> afterFailedWrite(error, stored) },
            { reply -> afterWrite(reply, lists) },
        )
    }

    private fun afterWrite(
        reply: StoreReply,
        lists: OperatorLists,
    ): Either<CommitError, VersionedLists> =
        if (reply is StoreReply.Written) VersionedLists(reply.revision, lists).right() else unknown("unexpected reply $reply")

    private fun afterFailedWrite(
        error: StoreError,
        stored: StoredDocument,
    ): Either<CommitError, VersionedLists>? =
        when (error) {
            is StoreError.Conflict -> null
            is StoreError.Unknown -> null.also { rememberLostAnswer(error, stored) }
            else -> if (lostAnswer == null) CommitError.NotWritten(error).left() else unknown(error.message)
        }

    private fun rememberLostAnswer(
        error: StoreError.Unknown,
        stored: StoredDocument,
    ) {
        lostAnswer = error.detail
        unresolvedBase = unresolvedBase ?: stored
    }

    private fun readDocument(): Either<CommitError, StoredDocument> =
        execute(StoreCall.Read(ListsDocument.KEY))
            .mapLeft<CommitError>(CommitError::NotWritten)
            .flatMap { reply -> decodeReply(reply) }

    private fun decodeReply(reply: StoreReply): Either<CommitError, StoredDocument> {
        val entry = (reply as? StoreReply.Entry)?.entry ?: return StoredDocument(StoreCall.NO_REVISION, ListsDocument()).right()
        return decodeDocument(entry.value)
            .mapLeft(CommitError::StoredListsInvalid)
            .map { StoredDocument(entry.revision, it) }
    }

    private fun giveUp(): Either<CommitError, VersionedLists> =
        lostAnswer?.let(::unknown) ?: CommitError.TooManyConflicts(maxAttempts).left()

    private fun unknown(detail: String): Either<CommitError, VersionedLists> = CommitError.OutcomeUnknown(id, detail).left()
}

private data class StoredDocument(
    val revision: Long,
    val document: ListsDocument,
) {
    val versioned: VersionedLists
        get() = VersionedLists(revision, document.lists)
}
