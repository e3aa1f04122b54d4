package io.kumquatmill.gateway.store

import arrow.core.Either
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

    /** It did not answer, or is of an earlier build. */
    NO_ANSWER,
}

/** Asks a peer for the changes after a revision. */
internal typealias AskForChanges = (peer: PeerReport, afterRevision: Long, onAnswer: (Either<NoChanges, PeerChanges>) -> Unit) -> Unit

/**
 * Sends the watches of this host to the reader of its availability zone where [source] names one, and to the store otherwise.
 *
 * A reader that does not answer, lacks the changes, or has not heard from the store for [MAX_ANSWER_AGE_MS] is replaced by the store at
 * once: it may have been frozen or cut off.
 *
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

    /** Returns the changes after [afterRevision] that this host has learned of, or null if they are not all known. */
    fun changesAfter(afterRevision: Long): PeerChanges? = recent.after(clock.nowMs(), afterRevision)

    private fun watch(
        call: StoreCall.Watch,
        untilMs: Long,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) {
        val reader = source.reader(clock.nowMs(), isServing()).takeUnless { hasStoreFailed || isSettling() }
        if (reader == null) return watchStore(call, onResult)
        ask(reader, call.afterRevision) { answer ->
            val result = answer.fold({ if (it == NoChanges.LACKING) Result.LACKING else Result.NO_ANSWER }, ::resultOf)
            onAnswer(result, reader)
            if (result == Result.TOO_OLD || result == Result.NO_ANSWER) source.onUnusable(clock.nowMs())
            val changes = answer.getOrNull()
            when {
                changes == null || result == Result.TOO_OLD -> watchStore(call, onResult)
                result == Result.USED || clock.nowMs() >= untilMs -> onResult(use(call, changes).right())
                else -> runAfter(batchMs) { watch(call, untilMs, onResult) }
            }
        }
    }

    private fun resultOf(answer: PeerChanges): Result =
        when {
            answer.answerAgeMs > MAX_ANSWER_AGE_MS -> Result.TOO_OLD
            answer.changes.isEmpty() -> Result.EMPTY
            else -> Result.USED
        }

    private fun use(
        call: StoreCall.Watch,
        answer: PeerChanges,
    ): StoreReply.Changes {
        val changes = StoreReply.Changes(answer.changes, answer.revision)
        recent.add(clock.nowMs() - answer.answerAgeMs, call.afterRevision, changes)
        return changes
    }

    private fun limited(call: StoreCall.Watch): StoreCall.Watch =
        source.watchMs(clock.nowMs(), isServing())?.let { call.copy(waitMs = min(call.waitMs, it)) } ?: call

    private fun watchStore(
        call: StoreCall.Watch,
        onResult: (Either<StoreError, StoreReply>) -> Unit,
    ) = sendToStore(limited(call)) { result ->
        hasStoreFailed = result.isLeft()
        result.fold({ recent.clear() }) { reply ->
            if (source.isShared) recent.add(clock.nowMs(), call.afterRevision, reply as StoreReply.Changes)
        }
        onResult(result)
    }

    companion object {
        /** Longer than a reader collects changes, waits for the store and gets its answer. */
        const val MAX_ANSWER_AGE_MS = 900L
    }
}
