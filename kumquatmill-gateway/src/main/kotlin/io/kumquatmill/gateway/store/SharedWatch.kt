package io.kumquatmill.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import io.kumquatmill.traffic.fleet.ChangeSource
import io.kumquatmill.traffic.fleet.PeerReport
import kotlin.math.min

/** Why a peer has sent no changes. */
internal enum class NoChanges {
    /** It does not know all changes since the revision, as it has just started, for instance. */
    LACKING,

    /** It did not answer, is of an earlier build, or gets no answer of the store itself. */
    NO_ANSWER,
}

/** Asks a peer for the changes after a revision. */
internal typealias AskForChanges = (peer: PeerReport, afterRevision: Long, onAnswer: (Either<NoChanges, PeerChanges>) -> Unit) -> Unit

/**
 * Sends the watches of this host to the reader of its availability zone where [source] names one, and to the store otherwise.
 *
 * A reader that does not answer, lacks the changes, or has not heard from the store for [maxAnswerAgeMs] is replaced by the store at
 * once: it may have been frozen or cut off.
 *
 * @param maxAnswerAgeMs longer than a reader collects changes, waits for the store and gets its answer
 * @param isSettling returns whether this host waits for the store to confirm what it may have lost; no peer can confirm it
 * @param onAnswer called with the result of each question to a peer
 */
internal class SharedWatch(
    private val source: ChangeSource,
    private val sendToStore: SendStoreCall,
    private val ask: AskForChanges,
    private val runAfter: RunAfter,
    private val clock: MonotonicClock,
    private val isServing: () -> Boolean,
    private val isSettling: () -> Boolean,
    private val maxAnswerAgeMs: Long = MAX_ANSWER_AGE_MS,
    private val onAnswer: (Result, PeerReport) -> Unit = { _, _ -> },
) {
    /** Result of a question to a peer. */
    enum class Result { USED, EMPTY, TOO_OLD, LACKING, NO_ANSWER }

    private val recent = RecentChanges()
    private var hasStoreFailed = false

    /** Time in milliseconds for which changes are collected. */
    val batchMs: Long
        get() = source.batchMs(clock.nowMs(), isServing())

    /** Sends [call] to the store, or to a peer if it is a watch that a peer can answer. */
    fun send(
        call: StoreCall,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        if (call is StoreCall.Watch) watch(call, clock.nowMs() + call.waitMs, onResult) else sendToStore(call, onResult)
    }

    /** Returns the changes after [afterRevision] that this host has learned of, or why it can't. */
    fun changesAfter(afterRevision: Long): Either<NoChanges, PeerChanges> =
        if (hasStoreFailed) NoChanges.NO_ANSWER.left() else recent.after(clock.nowMs(), afterRevision)?.right() ?: NoChanges.LACKING.left()

    private fun watch(
        call: StoreCall.Watch,
        untilMs: Long,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val reader = source.reader(clock.nowMs(), isServing()).takeUnless { hasStoreFailed || isSettling() }
        if (reader == null) return watchStore(call, onResult)
        askGuarded(reader, call.afterRevision) { answer ->
            val result = answer.fold({ if (it == NoChanges.LACKING) Result.LACKING else Result.NO_ANSWER }) { resultOf(call, it) }
            onAnswer(result, reader)
            if (result == Result.TOO_OLD || result == Result.NO_ANSWER) source.onUnusable(clock.nowMs(), reader.host)
            val changes = answer.getOrNull()
            when {
                // The connection to the store has not been used for a while and may have gone silent.
                changes == null || result == Result.TOO_OLD -> watchStore(call.copy(waitMs = min(call.waitMs, FIRST_WAIT_MS)), onResult)
                result == Result.USED -> onResult(use(call, changes).right())
                else -> {
                    val empty = use(call, changes)
                    runAfter(batchMs) { if (clock.nowMs() >= untilMs) onResult(empty.right()) else watch(call, untilMs, onResult) }
                }
            }
        }
    }

    /** An address that a peer has reported may be malformed; the watch must not end because of it. */
    @Suppress("TooGenericExceptionCaught")
    private fun askGuarded(
        reader: PeerReport,
        afterRevision: Long,
        onAnswer: (Either<NoChanges, PeerChanges>) -> Unit,
    ) = try {
        ask(reader, afterRevision, onAnswer)
    } catch (_: Exception) {
        onAnswer(NoChanges.NO_ANSWER.left())
    }

    private fun resultOf(
        call: StoreCall.Watch,
        answer: PeerChanges,
    ): Result =
        when {
            answer.answerAgeMs > maxAnswerAgeMs -> Result.TOO_OLD
            // The store came back from an older copy, so that a snapshot must be read.
            answer.changes.isEmpty() && eraOf(answer.revision) == eraOf(call.afterRevision) -> Result.EMPTY
            else -> Result.USED
        }

    private fun use(
        call: StoreCall.Watch,
        answer: PeerChanges,
    ): StoreReply.Changes {
        val changes = StoreReply.Changes(answer.changes, answer.revision)
        remember(clock.nowMs() - answer.answerAgeMs, call, changes)
        return changes
    }

    /** A store that came back from an older copy has given revisions out again, so that changes before the answer may be missing. */
    private fun remember(
        atMs: Long,
        call: StoreCall.Watch,
        answer: StoreReply.Changes,
    ) = if (eraOf(answer.revision) == eraOf(call.afterRevision)) recent.add(atMs, call.afterRevision, answer) else recent.clear()

    private fun watchStore(
        call: StoreCall.Watch,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val waitMs = source.watchMs(clock.nowMs(), isServing())?.let { min(call.waitMs, it) } ?: call.waitMs
        sendToStore(call.copy(waitMs = waitMs)) { result ->
            hasStoreFailed = result.isLeft()
            result.fold({ recent.clear() }) { if (source.isShared) remember(clock.nowMs(), call, it as StoreReply.Changes) }
            onResult(result)
        }
    }

    companion object {
        const val MAX_ANSWER_AGE_MS = 900L

        /** Longest wait of a watch that is sent to the store in place of a question to a peer. */
        private const val FIRST_WAIT_MS = 400L
    }
}
