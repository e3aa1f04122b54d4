package io.kumquatmill.traffic.workerlimit

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.model.WorkerEntry

/**
 * Rates that workers take from all hosts together. A worker in need names its limit in its responses; hosts tell each other, and each
 * host of the worker's region uses a fixed part, as nearly all requests for a worker come from there.
 *
 * Limits outlive the entries of their workers for a while, because the entry of a live worker may vanish and return.
 *
 * @param regionByZone region of each availability zone
 * @param onChange called when a limit is set, changed or lifted
 */
internal class WorkerLimits(
    private val fleet: FleetView,
    private val settings: WorkerLimitSettings,
    private val regionByZone: Map<AvailabilityZoneId, RegionId>,
    private val onChange: (WorkerLimitChange) -> Unit,
) {
    private val limits = HashMap<WorkerTag, WorkerRateLimit>()
    private val unlistedSinceMs = HashMap<WorkerTag, Long>()
    private val owners = RateOwners(fleet.selfName)
    private val selfHash = stableHash(fleet.selfName)

    /** Number of workers whose limit is in force. */
    val inForceCount: Int
        get() = limits.values.count { it.entry != null && it.limitPerS != null }

    /** Returns the limit of the worker process of [entry]. */
    fun of(entry: WorkerEntry): WorkerRateLimit {
        val tag = WorkerTag.of(entry)
        unlistedSinceMs.remove(tag)
        return limits.getOrPut(tag) { WorkerRateLimit(settings) }.also { it.entry = entry }
    }

    /** Forgets the limits of workers that have had no entry for long enough; [entries] are the current ones. */
    fun retain(
        nowMs: Long,
        entries: Collection<WorkerEntry>,
    ) {
        val listed = entries.mapTo(HashSet()) { WorkerTag.of(it) }
        limits.filterKeys { it !in listed }.forEach { (tag, limit) ->
            limit.entry = null
            unlistedSinceMs.putIfAbsent(tag, nowMs)
        }
        val forgotten = unlistedSinceMs.filterValues { nowMs - it > settings.forgetAfterMs }.keys.toList()
        forgotten.forEach { tag ->
            unlistedSinceMs.remove(tag)
            limits.remove(tag)
        }
    }

    /**
     * Applies what the response to a request that was sent to the worker of [entry] at [sentAtMs] states.
     *
     * @param mayLift whether the response can lift a limit; a failure or refusal without a limit may come from another layer
     */
    fun onResponse(
        nowMs: Long,
        sentAtMs: Long,
        entry: WorkerEntry,
        stated: StatedRateLimit,
        mayLift: Boolean,
    ) {
        val limit = limits[WorkerTag.of(entry)] ?: return
        change(nowMs, WorkerTag.of(entry), limit, fleet.selfName) {
            when (stated) {
                is StatedRateLimit.Named -> limit.onNamed(nowMs, stated.perS)
                is StatedRateLimit.None -> if (mayLift) limit.onNotNamed(sentAtMs)
                is StatedRateLimit.Invalid -> Unit
            }
        }
    }

    /** Applies the observations of a peer's [report]. */
    fun onReport(
        nowMs: Long,
        report: PeerReport,
    ) = report.workerLimits.forEach { (tag, observation) ->
        val limit = limits[tag] ?: unlisted(nowMs, tag)
        if (limit != null) change(nowMs, tag, limit, report.host) { limit.onPeerObservation(nowMs, observation) }
    }

    /** Returns this host's own observations, to be reported to peers. */
    fun ownObservations(nowMs: Long): Map<WorkerTag, WorkerLimitObservation> {
        val observations = limits.mapNotNull { (tag, limit) -> limit.ownObservation(nowMs)?.let { tag to it } }
        return observations.sortedBy { (_, observation) -> observation.ageMs }.take(settings.maxReported).toMap()
    }

    /** Recomputes this host's parts; must be called several times per second, as the fleet may have changed. */
    fun updateParts(nowMs: Long) {
        val hosts = fleet.hosts()
        limits.forEach { (tag, limit) -> if (limit.limitPerS != null) updatePart(nowMs, tag, limit, hosts) }
    }

    private fun updatePart(
        nowMs: Long,
        tag: WorkerTag,
        limit: WorkerRateLimit,
        hosts: List<EntryHostInfo>,
    ) {
        val tagHash = tag.value.toLong()
        val region = limit.entry?.let { regionByZone[it.availabilityZone] }
        val nearHosts = hosts.filter { it.region == region?.value }.ifEmpty { hosts }.map { it.host }
        val tryDelayMs = combineHashes(tagHash, selfHash).mod(hosts.size * MILLIS_PER_SECOND)
        limit.updatePart(nowMs, tryDelayMs) { maxOwners -> owners.ownPart(tagHash, nearHosts, maxOwners) }
    }

    /** Returns a new limit of a worker without an entry, or null if too many are remembered. */
    private fun unlisted(
        nowMs: Long,
        tag: WorkerTag,
    ): WorkerRateLimit? {
        if (unlistedSinceMs.size >= settings.maxUnlisted) return null
        unlistedSinceMs[tag] = nowMs
        return WorkerRateLimit(settings).also { limits[tag] = it }
    }

    private fun change(
        nowMs: Long,
        tag: WorkerTag,
        limit: WorkerRateLimit,
        source: String,
        observe: () -> Unit,
    ) {
        val beforePerS = limit.limitPerS
        observe()
        if (limit.limitPerS == beforePerS) return
        val hosts = fleet.hosts()
        updatePart(nowMs, tag, limit, hosts)
        val ageMs = nowMs - (limit.observedAtMs ?: nowMs)
        onChange(WorkerLimitChange(limit.entry?.id, limit.limitPerS, beforePerS, limit.ownRatePerS, hosts.size, source, ageMs))
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
