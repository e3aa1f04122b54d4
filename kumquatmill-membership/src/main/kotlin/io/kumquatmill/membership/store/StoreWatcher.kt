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
 * Keeps a [StoreView] up to date by one watch of all keys, at most one call in each renew period.
 *
 * After failures it tries again with growing, random delays, so that hosts do not all return to the store at once.
 */
internal class StoreWatcher(
    private val settings: MembershipSettings,
    private val random: Random,
    private val fleetSize: () -> Int,
) {
    val view = StoreView()

    /** Time of sending of the newest call that the store answered. */
    var evidenceMs: Long? = null
        private set

    /** Time since which the store has answered every call, or null while it does not. */
    var upSinceMs: Long? = null
        private set

    /** Time at which the store came back after a silence in which leases may have lapsed. */
    var returnedMs: Long? = null
        private set

    private var nextCallMs: Long? = null
    private var openCall: OpenCall? = null
    private var failures = 0
    private var mustReadAll = true

    val isUp: Boolean
        get() = upSinceMs != null

    fun onTick(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val open = openCall
        if (open != null && nowMs >= open.giveUpMs) fail(nowMs)
        if (openCall == null && nowMs >= nextCallMs()) call(nowMs, out)
    }

    /** Takes the result of a watch or of a read of all keys; returns the changes, or null if the call failed. */
    fun onReply(
        nowMs: Long,
        sentAtMs: Long,
        call: StoreCall,
        result: Either<StoreError, StoreReply>,
    ): List<StoreChange>? {
        val changes = result.fold({ null }, { reply -> take(nowMs, reply) })
        if (changes == null) {
            if (result.leftOrNull() is StoreError.Rejected) mustReadAll = true
            if (openCall?.call == call) fail(nowMs)
            return null
        }
        if (openCall?.call == call) openCall = null
        succeed(nowMs, sentAtMs)
        return changes
    }

    private fun take(
        nowMs: Long,
        reply: StoreReply,
    ): List<StoreChange>? =
        when (reply) {
            is StoreReply.Entries -> takeAll(nowMs, reply)
            is StoreReply.Changes -> view.apply(nowMs, reply.changes, reply.revision)
            else -> null
        }

    private fun takeAll(
        nowMs: Long,
        reply: StoreReply.Entries,
    ): List<StoreChange> {
        mustReadAll = false
        return view.replace(nowMs, reply.entries, reply.revision)
    }

    private fun nextCallMs(): Long = nextCallMs ?: Long.MIN_VALUE

    private fun call(
        nowMs: Long,
        out: OutputBuilder,
    ) {
        val waitMs = settings.watchWaitMs(fleetSize())
        val call =
            if (mustReadAll) {
                StoreCall.ReadPrefix(MembershipKeys.ALL)
            } else {
                StoreCall.Watch(MembershipKeys.ALL, view.revision, if (isUp) waitMs else 0)
            }
        openCall = OpenCall(call, giveUpMs = nowMs + waitMs + settings.storeCallTimeoutMs)
        out.call(call)
    }

    private fun succeed(
        nowMs: Long,
        sentAtMs: Long,
    ) {
        noteReturn(nowMs, sentAtMs)
        evidenceMs = maxOf(sentAtMs, evidenceMs ?: sentAtMs)
        upSinceMs = upSinceMs ?: nowMs
        failures = 0
        nextCallMs = maxOf(nowMs, sentAtMs + settings.renewPeriodMs(fleetSize()))
    }

    private fun noteReturn(
        nowMs: Long,
        sentAtMs: Long,
    ) {
        val lastMs = evidenceMs
        val mayHaveLapsed = lastMs == null || sentAtMs - lastMs > settings.leaseTtlMs(fleetSize()) / 2
        if (mayHaveLapsed) returnedMs = nowMs
    }

    private fun fail(nowMs: Long) {
        openCall = null
        upSinceMs = null
        failures++
        nextCallMs = nowMs + reconnectDelayMs(settings, failures, random)
    }
}

private data class OpenCall(
    val call: StoreCall,
    val giveUpMs: Long,
)

/** Returns the delay before the next try after [failures] failures: exponential, with jitter of half its length. */
internal fun reconnectDelayMs(
    settings: MembershipSettings,
    failures: Int,
    random: Random,
): Long {
    val exponent = (failures - 1).coerceIn(0, MAX_EXPONENT)
    val limitMs = (settings.minReconnectDelayMs shl exponent).coerceAtMost(settings.maxReconnectDelayMs)
    return limitMs / 2 + random.nextLong(limitMs / 2 + 1)
}

private const val MAX_EXPONENT = 16
