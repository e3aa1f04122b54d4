package io.kumquatmill.membership.store

import arrow.core.Either
import io.kumquatmill.membership.MembershipSettings
import io.kumquatmill.membership.OutputBuilder
import io.kumquatmill.membership.record.MembershipKeys
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random

/**
 * Keeps a [StoreView] up to date by watching all keys, with at most one call per renew period.
 *
 * Failed calls are retried with exponential backoff and jitter, so that not all hosts reconnect to the store at once.
 */
internal class StoreWatcher(
    private val settings: MembershipSettings,
    private val random: Random,
    private val fleetSize: () -> Int,
) {
    val view = StoreView()

    /** Send time of the latest call that the store has replied to, or null if there is none. */
    var lastContactAtMs: Long? = null
        private set

    /** Time since which the store has replied to every call, or null while it does not respond. */
    var upSinceMs: Long? = null
        private set

    /** Time at which the store last responded again after a pause in which leases may have expired, or null if it never has. */
    var recoveredAtMs: Long? = null
        private set

    private var nextCallAtMs: Long? = null
    private var pendingCall: PendingCall? = null
    private var consecutiveFailures = 0
    private var needsFullRead = true

    /** Whether the latest watch or full read succeeded. */
    val isUp: Boolean
        get() = upSinceMs != null

    fun onTick(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val pending = pendingCall
        if (pending != null && nowMs >= pending.timeoutAtMs) onFailure(nowMs)
        if (pendingCall == null && nowMs >= nextCallAtMs()) sendCall(nowMs, out)
    }

    /** Handles the result of a watch or a full read; returns the new changes, or null if the call failed. */
    fun onReply(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
    ): List<StoreChange>? {
        val changes = result.fold({ null }, { reply -> applyReply(nowMs, reply) })
        if (changes == null) {
            if (result.leftOrNull() is StoreError.Rejected) needsFullRead = true
            if (pendingCall?.call == call) onFailure(nowMs)
            return null
        }
        if (pendingCall?.call == call) pendingCall = null
        onSuccess(nowMs, sentAtMs)
        return changes
    }

    private fun applyReply(
        nowMs: Long,
        reply: StoreReply,
    ): List<StoreChange>? =
        when (reply) {
            is StoreReply.Entries -> applySnapshot(nowMs, reply)
            is StoreReply.Changes -> view.apply(nowMs, reply.changes, reply.revision)
            else -> null
        }

    private fun applySnapshot(
        nowMs: Long,
        reply: StoreReply.Entries,
    ): List<StoreChange> {
        needsFullRead = false
        return view.replace(nowMs, reply.entries, reply.revision)
    }

    private fun nextCallAtMs(): Long = nextCallAtMs ?: Long.MIN_VALUE

    private fun sendCall(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val waitMs = settings.watchWaitMs(fleetSize())
        val call =
            if (needsFullRead) {
                StoreCall.ReadPrefix(MembershipKeys.ALL)
            } else {
                StoreCall.Watch(MembershipKeys.ALL, view.revision, if (isUp) waitMs else 0)
            }
        pendingCall = PendingCall(call, timeoutAtMs = nowMs + waitMs + settings.storeCallTimeoutMs)
        out.addStoreCall(call)
    }

    private fun onSuccess(
        nowMs: Long,
        sentAtMs: Long,
    ) {
        detectRecovery(nowMs, sentAtMs)
        lastContactAtMs = maxOf(sentAtMs, lastContactAtMs ?: sentAtMs)
        upSinceMs = upSinceMs ?: nowMs
        consecutiveFailures = 0
        nextCallAtMs = maxOf(nowMs, sentAtMs + settings.renewPeriodMs(fleetSize()))
    }

    private fun detectRecovery(
        nowMs: Long,
        sentAtMs: Long,
    ) {
        val previousContactAtMs = lastContactAtMs
        val mayHaveExpired = previousContactAtMs == null || sentAtMs - previousContactAtMs > settings.leaseTtlMs(fleetSize()) / 2
        if (mayHaveExpired) recoveredAtMs = nowMs
    }

    private fun onFailure(nowMs: Long) {
        pendingCall = null
        upSinceMs = null
        consecutiveFailures++
        nextCallAtMs = nowMs + reconnectDelayMs(settings, consecutiveFailures, random)
    }
}

private data class PendingCall(
    val call: StoreCall,
    val timeoutAtMs: Long,
)

/** Returns the delay before the next attempt: exponential backoff, of which a random half is jitter. */
internal fun reconnectDelayMs(
    settings: MembershipSettings,
    consecutiveFailures: Int,
    random: Random,
): Long {
    val exponent = (consecutiveFailures - 1).coerceIn(0, MAX_EXPONENT)
    val maxDelayMs = (settings.minReconnectDelayMs shl exponent).coerceAtMost(settings.maxReconnectDelayMs)
    return maxDelayMs / 2 + random.nextLong(maxDelayMs / 2 + 1)
}

/** Maximum exponent of the backoff, so that the shift does not overflow. */
private const val MAX_EXPONENT = 16
