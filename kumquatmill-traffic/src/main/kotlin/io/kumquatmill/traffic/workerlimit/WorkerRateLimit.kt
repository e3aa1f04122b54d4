package io.kumquatmill.traffic.workerlimit

import io.kumquatmill.limits.bucket.TokenBucket
import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.model.WorkerEntry
import kotlin.math.max

/**
 * Rate that one worker takes from all hosts together, as far as this host knows, and the tokens of this host's part of it.
 *
 * A limit holds until a response lifts it whose request was sent after the limit was last observed: responses overtake each other. A
 * peer's word is enough to set a limit but not to lift it; it only lets one request try.
 */
internal class WorkerRateLimit(
    private val settings: WorkerLimitSettings,
) {
    /** Entry of the worker, or null while it has none. */
    var entry: WorkerEntry? = null

    /** Requests per second that the worker takes, or null without a limit. */
    var limitPerS: Double? = null
        private set

    /** Time of the observation on which [limitPerS] rests; null before the first one. */
    var observedAtMs: Long? = null
        private set

    /** Requests per second that this host may send. */
    var ownRatePerS: Double = 0.0
        private set

    private var isOwnObservation = false
    private var bucket: TokenBucket? = null
    private var mayTry = false
    private var triedAtMs = Long.MIN_VALUE / 2
    private var tryAfterMs = settings.unconfirmedAfterMs

    /** Returns whether a request may be sent to the worker now. */
    fun allows(nowMs: Long): Boolean = limitPerS == null || hasToken(nowMs) || mayTry || isUnconfirmed(nowMs)

    /** Returns the time in milliseconds until this host has a token, 0 if it needs none; null if it gets none. */
    fun availableInMs(nowMs: Long): Long? = if (allows(nowMs)) 0 else bucket?.peekTimeUntilAvailableMs(nowMs, 1.0)

    /** Records that a request is sent to the worker. */
    fun onSent(nowMs: Long) {
        if (limitPerS == null || bucket?.tryTake(nowMs, 1.0) == true) return
        mayTry = false
        triedAtMs = nowMs
    }

    /** Records that the worker named a limit of [perS] in a response to this host. */
    fun onNamed(
        nowMs: Long,
        perS: Double,
    ) = set(nowMs, nowMs, perS, isOwn = true)

    /** Records that the worker named no limit in its response to a request of this host that was sent at [sentAtMs]. */
    fun onNotNamed(sentAtMs: Long) {
        val lastMs = observedAtMs
        if (lastMs == null || sentAtMs <= lastMs) return
        limitPerS = null
        ownRatePerS = 0.0
        bucket = null
        observedAtMs = sentAtMs
        isOwnObservation = true
        mayTry = false
    }

    /** Applies the [observation] of a peer if it is newer than what this host knows. */
    fun onPeerObservation(
        nowMs: Long,
        observation: WorkerLimitObservation,
    ) {
        val atMs = nowMs - observation.ageMs
        val lastMs = observedAtMs
        if (lastMs != null && atMs <= lastMs) return
        val perS = observation.limitPerS
        if (perS != null) set(nowMs, atMs, perS, isOwn = false) else mayTry = limitPerS != null
    }

    /** Returns this host's own observation for its peers, or null if they have a newer one or have had time to learn of it. */
    fun ownObservation(nowMs: Long): WorkerLimitObservation? {
        val atMs = observedAtMs
        if (atMs == null || !isOwnObservation) return null
        val isStillReported = limitPerS != null || nowMs - atMs <= settings.liftReportedMs
        return if (isStillReported) WorkerLimitObservation(limitPerS, max(0, nowMs - atMs)) else null
    }

    /**
     * Recomputes this host's part.
     *
     * @param tryDelayMs additional time for which this host does not try a worker whose limit is unconfirmed
     * @param ownPart returns this host's part from 0 to 1 of a rate that the given number of hosts may own
     */
    fun updatePart(
        nowMs: Long,
        tryDelayMs: Long,
        ownPart: (maxOwners: Int) -> Double,
    ) {
        val limit = limitPerS ?: return
        val burstTokens = limit * settings.burstMs / MILLIS_PER_SECOND + settings.extraTokens
        val part = ownPart(max(1, burstTokens.toInt()))
        ownRatePerS = max(limit, settings.minRatePerS) * part
        val capacity = if (part > 0) max(1.0, burstTokens * part) else 0.0
        val tokens = bucket ?: TokenBucket(ownRatePerS, capacity, nowMs).also { bucket = it }
        tokens.rescale(nowMs, ownRatePerS, capacity)
        tryAfterMs = settings.unconfirmedAfterMs + tryDelayMs
    }

    private fun set(
        nowMs: Long,
        atMs: Long,
        perS: Double,
        isOwn: Boolean,
    ) {
        if (limitPerS == null) {
            bucket = null
            triedAtMs = nowMs
        }
        limitPerS = perS
        observedAtMs = atMs
        isOwnObservation = isOwn
        mayTry = false
    }

    private fun hasToken(nowMs: Long): Boolean = bucket?.peekTimeUntilAvailableMs(nowMs, 1.0) == 0L

    private fun isUnconfirmed(nowMs: Long): Boolean = nowMs - max(observedAtMs ?: nowMs, triedAtMs) >= tryAfterMs

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
