package io.kumquatmill.traffic.placement

import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.limits.bucket.TokenBucket
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.model.WorkerEntry
import io.kumquatmill.traffic.workerlimit.WorkerRateLimit
import kotlin.math.exp
import kotlin.math.max
import kotlin.math.min

/** State of one worker process as known to this host, from the worker's entry and from the requests that this host has sent to it. */
class TrackedWorker internal constructor(
    entry: WorkerEntry,
    private val settings: PlacementSettings,
    internal val rateLimit: WorkerRateLimit,
) {
    /** Latest entry of the worker. */
    var entry: WorkerEntry = entry
        internal set

    /** Hash of the worker's name for rendezvous hashing. */
    val nameHash: Long = stableHash(entry.id.value)

    /** Hash of the name of the worker's availability zone. */
    val zoneHash: Long = stableHash(entry.availabilityZone.value)

    /** Identifies the worker's process in reports between hosts. */
    internal val tag: WorkerTag = WorkerTag.of(entry)

    /** Number of requests from this host that the worker has not answered yet. */
    var inFlight: Int = 0
        private set

    /** Time until which the worker is considered cold. */
    var coldUntilMs: Long = 0
        internal set

    /** Limits this host's requests to the worker while it is cold; null means no limit. */
    internal var coldBucket: TokenBucket? = null

    /** Maximum number of connections, busy or idle, that this host may have open to the worker. */
    var connectionLimit: Int = Int.MAX_VALUE
        internal set

    /** Whether the worker must not receive new requests, because it is draining. */
    var isLeaving: Boolean = entry.isDraining
        internal set

    /** Time until which the worker wants no requests from this host. */
    internal var pausedUntilMs: Long = Long.MIN_VALUE

    /** Whether an answer has said that the worker's address belongs to another worker, and the worker has run no request since. */
    val isMisdirected: Boolean
        get() = misdirections > 0

    private var misdirections = 0
    private var misdirectedUntilMs = Long.MIN_VALUE
    private val inFlightSentAtMs = ArrayDeque<Long>()
    private val cachedKeys =
        object : LinkedHashMap<Long, Unit>(settings.cachedKeysPerWorker, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>): Boolean = size > settings.cachedKeysPerWorker
        }
    internal val reportedSpeed = ReportedSpeed(settings.reportedSpeedTtlMs)
    private var reportedLoad = LoadEstimate.NONE
    private var shedLoad = LoadEstimate.NONE
    private var smoothedSlowdown = 1.0
    private var slowdownUpdatedAtMs = 0L
    private var smoothedFailureRatio = 0.0
    private var failureRatioUpdatedAtMs = 0L
    private var consecutiveFailures = 0
    private var ejectedUntilMs = Long.MIN_VALUE
    private var meanServiceMs = 0.0

    /** Returns whether the worker probably has the object of [affinityHash] cached, as this host recently sent it a request for it. */
    fun hasCached(affinityHash: Long): Boolean = cachedKeys.containsKey(affinityHash)

    /** Returns whether the worker is still cold: it started recently, or the evacuation of its zone ended recently. */
    fun isCold(nowMs: Long): Boolean = nowMs < coldUntilMs

    /** Returns whether the worker can receive a request now; after repeated failures or a 421 it receives only one request at a time. */
    fun isAvailable(nowMs: Long): Boolean = obstacle(nowMs) == null

    /** Returns the first reason why the worker cannot receive a request now, or null if it can. */
    internal fun obstacle(nowMs: Long): WorkerObstacle? {
        val isBusy = inFlight > 0
        return when {
            isLeaving -> WorkerObstacle.DRAINING
            nowMs < pausedUntilMs -> WorkerObstacle.PAUSED
            nowMs < misdirectedUntilMs || (isMisdirected && isBusy) -> WorkerObstacle.MISDIRECTED
            nowMs < ejectedUntilMs || (consecutiveFailures >= settings.failuresToEject && isBusy) -> WorkerObstacle.FAILING
            inFlight >= connectionLimit -> WorkerObstacle.CONNECTIONS_FULL
            inFlight >= entry.slots.toLong() * settings.maxInFlightPerSlot -> WorkerObstacle.SLOTS_FULL
            !hasColdCapacity(nowMs) -> WorkerObstacle.COLD
            !rateLimit.allows(nowMs) -> WorkerObstacle.RATE_LIMITED
            else -> null
        }
    }

    /** Returns the age in milliseconds of the latest report of the worker's load, or null if there is none. */
    fun loadReportAgeMs(nowMs: Long): Long? = reportedLoad.observedAtMs.takeIf { it != Long.MIN_VALUE }?.let { nowMs - it }

    /** Returns the time in milliseconds for which the worker is left out, because its address may belong to another worker. */
    fun misdirectedForMs(nowMs: Long): Long = if (nowMs < misdirectedUntilMs) misdirectedUntilMs - nowMs else 0

    /** Returns the time in milliseconds until the worker's pause ends, 0 if it has none. */
    fun pauseLeftMs(nowMs: Long): Long = max(0L, pausedUntilMs.coerceAtLeast(nowMs) - nowMs)

    /** Returns the estimated number of requests from all hosts at the worker. */
    fun load(nowMs: Long): Double {
        val otherHostsLoad = max(reportedLoad.at(nowMs, settings.loadReportTtlMs), shedLoad.at(nowMs, settings.loadReportTtlMs))
        return inFlight + otherHostsLoad
    }

    /** Returns the expected time in the worker's queue in milliseconds; [usesReport] says whether the speed that it reports counts. */
    fun expectedWaitMs(
        nowMs: Long,
        usesReport: Boolean = false,
    ): Double {
        val ahead = load(nowMs) - entry.slots + 1
        return if (ahead <= 0) 0.0 else ahead / entry.slots * meanServiceMs * slowdown(nowMs, if (usesReport) nowMs else null)
    }

    /**
     * Returns the ratio of the worker's service times to the expected ones, considering the age of its oldest unanswered request and, if
     * [startMs] is set, the speed that the worker reports, as far as it still holds then. These may be signs of the same slowdown, so the
     * largest of them counts, not their product.
     */
    fun slowdown(
        nowMs: Long,
        startMs: Long? = null,
    ): Double {
        val observed = 1.0 + (smoothedSlowdown - 1.0) * exp(-(nowMs - slowdownUpdatedAtMs) / DECAY_MS)
        val oldestMs = inFlightSentAtMs.firstOrNull()?.let { nowMs - it } ?: 0
        val slowdownByAge = if (meanServiceMs > 0) oldestMs / (meanServiceMs * SLOW_AGE_FACTOR) else 0.0
        val measured = max(observed, slowdownByAge)
        val reported = if (startMs == null) 1.0 else reportedSpeed.factor(startMs)
        // A report of the usual speed does not raise the estimate of a worker that was measured to be faster.
        return (if (reported > 1.0) max(measured, reported) else measured).coerceIn(MIN_SLOWDOWN, MAX_SLOWDOWN)
    }

    /** Returns the fraction of this host's recent requests that the worker failed or shed. */
    fun failureRatio(nowMs: Long): Double = smoothedFailureRatio * exp(-(nowMs - failureRatioUpdatedAtMs) / DECAY_MS)

    internal fun onSent(
        nowMs: Long,
        affinityHash: Long?,
    ) {
        inFlight++
        inFlightSentAtMs.addLast(nowMs)
        if (affinityHash != null) cachedKeys[affinityHash] = Unit
        if (isCold(nowMs)) coldBucket?.tryTake(nowMs, 1.0)
        rateLimit.onSent(nowMs)
    }

    internal fun onFinished(sentAtMs: Long) {
        inFlight = max(0, inFlight - 1)
        inFlightSentAtMs.remove(sentAtMs)
    }

    /** Records a response; [ratio] of actual to expected service time is null if the two can't be compared. */
    internal fun onAnswered(
        nowMs: Long,
        ratio: Double?,
        serviceMs: Double,
    ) {
        consecutiveFailures = 0
        ejectedUntilMs = Long.MIN_VALUE
        misdirections = 0
        misdirectedUntilMs = Long.MIN_VALUE
        meanServiceMs = if (meanServiceMs == 0.0) serviceMs else meanServiceMs + SMOOTHING * (serviceMs - meanServiceMs)
        recordFailure(nowMs, 0.0)
        if (ratio != null) recordSlowdown(nowMs, ratio)
    }

    /** Records that the worker has not answered after [ratio] times the expected service time. */
    internal fun onTimedOut(
        nowMs: Long,
        ratio: Double,
    ) {
        recordSlowdown(nowMs, max(ratio, MIN_TIMEOUT_SLOWDOWN))
        onFailed(nowMs, isUnreachable = false)
    }

    /** Records that the worker reported a total of [requests] running and waiting requests. */
    internal fun onLoadReport(
        nowMs: Long,
        requests: Long,
    ) {
        reportedLoad = LoadEstimate(max(0L, requests - inFlight), nowMs)
        shedLoad = LoadEstimate.NONE
    }

    /**
     * Records that the worker reported a total of [requests] to a peer at [observedAtMs]; returns false if a newer report is known.
     * Requests that this host has sent since are not part of it.
     */
    internal fun onSharedLoad(
        observedAtMs: Long,
        requests: Long,
    ): Boolean {
        if (observedAtMs <= reportedLoad.observedAtMs) return false
        reportedLoad = LoadEstimate(max(0L, requests - inFlightSentAtMs.count { it < observedAtMs }), observedAtMs)
        return true
    }

    /** Records that work at the worker currently takes [servicePercent] percent of the usual time. */
    internal fun onSpeedReport(
        nowMs: Long,
        servicePercent: Int,
    ) = reportedSpeed.onReport(nowMs, servicePercent)

    /** Records that the worker shed a request, which means that it is full whatever load it reported. */
    internal fun onShed(nowMs: Long) {
        shedLoad = LoadEstimate(max(0L, entry.slots.toLong() - inFlight), nowMs)
        recordFailure(nowMs, 1.0)
    }

    internal fun onFailed(
        nowMs: Long,
        isUnreachable: Boolean,
    ) {
        consecutiveFailures++
        recordFailure(nowMs, 1.0)
        if (!isUnreachable && consecutiveFailures < settings.failuresToEject) return
        val doublings = min(consecutiveFailures - 1, MAX_DOUBLINGS)
        ejectedUntilMs = nowMs + min(settings.maxEjectionMs, settings.baseEjectionMs shl doublings)
    }

    /** Forgets failures and slow responses, which were due to the way to the worker. */
    internal fun forgetFailures() {
        consecutiveFailures = 0
        ejectedUntilMs = Long.MIN_VALUE
        smoothedFailureRatio = 0.0
        smoothedSlowdown = 1.0
    }

    /**
     * Records that the address belongs to another worker, as one answer said. It may be wrong, and the entry of a worker that has ended
     * lapses: so the worker is left out for a time that doubles with each further such answer, until it has run a request.
     */
    internal fun onMisdirected(nowMs: Long) {
        if (nowMs < misdirectedUntilMs) return
        misdirectedUntilMs = nowMs + min(settings.maxMisdirectedMs, settings.baseMisdirectedMs shl min(misdirections, MAX_DOUBLINGS))
        misdirections++
    }

    /** Records that the worker's entry was written again, so that a request may find out whether its address belongs to it. */
    internal fun onEntryChanged() {
        misdirectedUntilMs = Long.MIN_VALUE
    }

    private fun recordSlowdown(
        nowMs: Long,
        ratio: Double,
    ) {
        val observed = 1.0 + (smoothedSlowdown - 1.0) * exp(-(nowMs - slowdownUpdatedAtMs) / DECAY_MS)
        smoothedSlowdown = observed + SMOOTHING * (min(ratio, MAX_SLOWDOWN) - observed)
        slowdownUpdatedAtMs = nowMs
    }

    /** Updates the failure ratio with a [value] of 1 for a failure or 0 for a success. */
    private fun recordFailure(
        nowMs: Long,
        value: Double,
    ) {
        smoothedFailureRatio = failureRatio(nowMs).let { it + FAILURE_SMOOTHING * (value - it) }
        failureRatioUpdatedAtMs = nowMs
    }

    /** Number of requests from other hosts at one time, which counts less the older it is. */
    private class LoadEstimate(
        private val requests: Long,
        val observedAtMs: Long,
    ) {
        fun at(
            nowMs: Long,
            ttlMs: Long,
        ): Double = requests * max(0.0, 1.0 - (nowMs - observedAtMs).toDouble() / ttlMs)

        companion object {
            val NONE = LoadEstimate(requests = 0, observedAtMs = Long.MIN_VALUE)
        }
    }

    private fun hasColdCapacity(nowMs: Long): Boolean {
        val bucket = coldBucket
        return !isCold(nowMs) || bucket == null || bucket.peekTimeUntilAvailableMs(nowMs, 1.0) == 0L
    }

    private companion object {
        const val LOAD_FACTOR = 0.75f
        const val SMOOTHING = 0.2
        const val FAILURE_SMOOTHING = 0.1

        /** Time constant with which the slowdown and failure ratio of a worker without new observations return to normal. */
        const val DECAY_MS = 4_000.0

        /** A request may take this many times the mean service time before it counts as a sign of a slow worker. */
        const val SLOW_AGE_FACTOR = 2.0

        /** An unanswered request indicates a slow worker, however long it was expected to take. */
        const val MIN_TIMEOUT_SLOWDOWN = 3.0
        const val MIN_SLOWDOWN = 0.5
        const val MAX_SLOWDOWN = 12.0
        const val MAX_DOUBLINGS = 8
    }
}
