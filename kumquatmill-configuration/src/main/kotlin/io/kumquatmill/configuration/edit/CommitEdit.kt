package io.kumquatmill.configuration.edit

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.json.decodeDocument
import io.kumquatmill.configuration.json.encodeDocument
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.VersionedConfiguration
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply

/** Default number of attempts to write an edit before giving up on conflicts with concurrent edits. */
const val DEFAULT_COMMIT_ATTEMPTS: Int = 8

/**
 * Commits [edit] to the key-value store by compare-and-swap and returns the configuration as it is afterwards.
 *
 * A concurrent edit of another entry is kept and this edit is retried. A concurrent change of the same entry since
 * [expected], or since the first read if [expected] is null, is a [CommitError.EntryChanged]. If the response to a write
 * is lost, the document is read back: it records [id] if the edit took effect, even if other edits followed.
 *
 * @param expected configuration on which the operator based the edit, or null to use the first one read.
 * @param maxAttempts maximum number of attempts, including the first.
 * @param execute sends a call to the store.
 */
fun commitEdit(
    edit: ConfigurationEdit,
    id: EditId,
    expected: OperatorConfiguration? = null,
    maxAttempts: Int = DEFAULT_COMMIT_ATTEMPTS,
    execute: (StoreCall) -> Either<StoreError, StoreReply>,
): Either<CommitError, VersionedConfiguration> = EditCommitter(edit, id, expected, maxAttempts, execute).run()

private class EditCommitter(
    private val edit: ConfigurationEdit,
    private val id: EditId,
    expected: OperatorConfiguration?,
    private val maxAttempts: Int,
    private val execute: (StoreCall) -> Either<StoreError, StoreReply>,
) {
    private var expectedEntry: EditedEntry? = expected?.let(edit::entryIn)
    private var documentBeforeLostWrite: StoredDocument? = null
    private var lostResponseDetail: String? = null

    fun run(): Either<CommitError, VersionedConfiguration> {
        repeat(maxAttempts) {
            val result = attempt()
            if (result != null) return result
        }
        return resultAfterLastAttempt()
    }

    /** Returns the result, or null if the edit must be retried. */
    private fun attempt(): Either<CommitError, VersionedConfiguration>? =
        readDocument().fold(
            { error -> if (lostResponseDetail == null) error.left() else outcomeUnknown(error.message) },
            { stored -> resolveOrWrite(stored) },
        )

    private fun resolveOrWrite(stored: StoredDocument): Either<CommitError, VersionedConfiguration>? {
        if (id in stored.document.recentEdits) return stored.versioned.right()
        if (isEditHistoryTruncated(stored)) {
            return outcomeUnknown("more than ${ConfigurationDocument.MAX_RECENT_EDITS} later edits were recorded")
        }
        val current = edit.entryIn(stored.document.configuration)
        val expected = expectedEntry ?: current.also { expectedEntry = it }
        if (expected != current) return CommitError.EntryChanged(expected, current).left()
        return stored.document.configuration
            .applyEdit(edit)
            .fold({ CommitError.NotApplicable(it).left() }, { write(stored, it) })
    }

    /**
     * Returns whether, after a lost response, so many edits followed that this edit may have been dropped from
     * [ConfigurationDocument.recentEdits].
     */
    private fun isEditHistoryTruncated(stored: StoredDocument): Boolean {
        val base = documentBeforeLostWrite ?: return false
        val lastEditBefore = base.document.recentEdits.lastOrNull()
        val isFull = stored.document.recentEdits.size == ConfigurationDocument.MAX_RECENT_EDITS
        return isFull && stored.revision != base.revision && lastEditBefore !in stored.document.recentEdits
    }

    private fun write(
        stored: StoredDocument,
        configuration: OperatorConfiguration,
    ): Either<CommitError, VersionedConfiguration>? {
        val value = encodeDocument(stored.document.withEdit(id, configuration))
        return execute(StoreCall.CompareAndSwap(ConfigurationDocument.KEY, stored.revision, value)).fold(
            { error -> afterFailedWrite(error, stored) },
            { reply -> afterWrite(reply, configuration) },
        )
    }

    private fun afterWrite(
        reply: StoreReply,
        configuration: OperatorConfiguration,
    ): Either<CommitError, VersionedConfiguration> =
        if (reply is StoreReply.Written) {
            VersionedConfiguration(reply.revision, configuration).right()
        } else {
            outcomeUnknown("unexpected reply $reply")
        }

    private fun afterFailedWrite(
        error: StoreError,
        stored: StoredDocument,
    ): Either<CommitError, VersionedConfiguration>? =
        when (error) {
            is StoreError.Conflict -> null
            is StoreError.Unknown -> null.also { recordLostResponse(error, stored) }
            else -> if (lostResponseDetail == null) CommitError.NotWritten(error).left() else outcomeUnknown(error.message)
        }

    private fun recordLostResponse(
        error: StoreError.Unknown,
        stored: StoredDocument,
    ) {
        lostResponseDetail = error.detail
        documentBeforeLostWrite = documentBeforeLostWrite ?: stored
    }

    private fun readDocument(): Either<CommitError, StoredDocument> =
        execute(StoreCall.Read(ConfigurationDocument.KEY))
            .mapLeft<CommitError>(CommitError::NotWritten)
            .flatMap { reply -> decodeReply(reply) }

    private fun decodeReply(reply: StoreReply): Either<CommitError, StoredDocument> {
        val entry = (reply as? StoreReply.Entry)?.entry ?: return StoredDocument(StoreCall.NO_REVISION, ConfigurationDocument()).right()
        return decodeDocument(entry.value)
            .mapLeft(CommitError::StoredConfigurationInvalid)
            .map { StoredDocument(entry.revision, it) }
    }

    private fun resultAfterLastAttempt(): Either<CommitError, VersionedConfiguration> =
        lostResponseDetail?.let(::outcomeUnknown) ?: CommitError.TooManyConflicts(maxAttempts).left()

    private fun outcomeUnknown(detail: String): Either<CommitError, VersionedConfiguration> = CommitError.OutcomeUnknown(id, detail).left()
}

private data class StoredDocument(
    val revision: Long,
    val document: ConfigurationDocument,
) {
    val versioned: VersionedConfiguration
        get() = VersionedConfiguration(revision, document.configuration)
}
