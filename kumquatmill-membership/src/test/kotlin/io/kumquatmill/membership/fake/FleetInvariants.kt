package io.kumquatmill.membership.fake

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId

/** Checks the invariants of the fleet after each step and collects the violations. */
internal class FleetInvariants(
    private val fleet: FakeFleet,
) {
    private val revisions = mutableMapOf<HostId, Long>()
    private val informedSinceMs = mutableMapOf<HostId, Long>()
    private var acceptedRevision = 0L
    private var partitionedRegions = emptySet<Any>()
    private var partitionChangedAtMs = 0L
    val violations = mutableListOf<String>()

    fun check() {
        checkEpochs()
        checkRevisions()
        checkFreshness()
    }

    /** Records that the store has just accepted a new configuration with [revision]. */
    fun onConfigurationAccepted(revision: Long) {
        acceptedRevision = revision
        informedSinceMs.clear()
    }

    /** No host may use a settled epoch while another host has standing under an earlier one. */
    private fun checkEpochs() {
        val standings = fleet.hosts.mapNotNull { host -> host.standingEpochAndPhase?.let { host.id to it } }
        val settled = standings.filter { it.second.second == RosterPhase.SETTLED }.maxByOrNull { it.second.first } ?: return
        standings
            .filter { it.second.first < settled.second.first }
            .forEach { violations += "${fleet.nowMs} ms: ${settled.first} uses ${settled.second} while ${it.first} has ${it.second}" }
    }

    /** The configuration revision never goes backwards within one process of a host. */
    private fun checkRevisions() {
        fleet.hosts.filter { it.isRunning }.forEach { host ->
            val revision = host.revision
            val last = revisions.put(host.id, revision) ?: 0
            if (revision < last && revision != 0L) violations += "${fleet.nowMs} ms: ${host.id} went from revision $last to $revision"
        }
    }

    /** A host with a fresh configuration must have the one that a host in reach has had for [MAX_PROPAGATION_MS]. */
    private fun checkFreshness() {
        trackPartitions()
        val informedHosts = fleet.hosts.filter { it.isActive && it.revision >= acceptedRevision }
        informedSinceMs.keys.retainAll(informedHosts.mapTo(mutableSetOf()) { it.id })
        informedHosts.forEach { informedSinceMs.putIfAbsent(it.id, fleet.nowMs) }
        val limitMs = fleet.nowMs - MAX_PROPAGATION_MS
        if (partitionChangedAtMs > limitMs) return
        val sources = informedHosts.filter { informedSinceMs.getValue(it.id) <= limitMs }
        fleet.hosts
            .filter { host ->
                host.isActive &&
                    host.revision < acceptedRevision &&
                    sources.any { !fleet.faults.isPartitioned(it.region, host.region) }
            }.filter { it.isFresh }
            .forEach { violations += "${fleet.nowMs} ms: ${it.id} serves with revision ${it.revision}, not $acceptedRevision" }
    }

    private fun trackPartitions() {
        if (partitionedRegions == fleet.faults.partitionedRegions) return
        partitionedRegions = fleet.faults.partitionedRegions.toSet()
        partitionChangedAtMs = fleet.nowMs
    }

    private val FakeHost.revision: Long
        get() = configuration.current.revision

    private val FakeHost.isActive: Boolean
        get() = isRunning && !isFrozen

    private companion object {
        const val MAX_PROPAGATION_MS = 7_000L
    }
}
