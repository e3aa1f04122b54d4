package io.kumquatmill.membership.fake

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId

/** Checks at each step what must always hold, and keeps the violations. */
internal class FleetInvariants(
    private val fleet: FakeFleet,
) {
    private val revisions = mutableMapOf<HostId, Long>()
    private val knownSinceMs = mutableMapOf<HostId, Long>()
    private var acceptedRevision = 0L
    private var cutRegions = emptySet<Any>()
    private var cutChangedMs = 0L
    val violations = mutableListOf<String>()

    fun check() {
        checkEpochs()
        checkRevisions()
        checkFreshness()
    }

    /** Notes that an operator's edit was accepted now. */
    fun onListsAccepted(revision: Long) {
        acceptedRevision = revision
        knownSinceMs.clear()
    }

    /** Nobody may use a settled epoch while another host has standing under an earlier one. */
    private fun checkEpochs() {
        val uses = fleet.hosts.mapNotNull { host -> host.standingUnder?.let { host.id to it } }
        val settled = uses.filter { it.second.second == RosterPhase.SETTLED }.maxByOrNull { it.second.first } ?: return
        uses
            .filter { it.second.first < settled.second.first }
            .forEach { violations += "${fleet.nowMs} ms: ${settled.first} uses ${settled.second} while ${it.first} has ${it.second}" }
    }

    /** Revisions never go backwards within one life of a host. */
    private fun checkRevisions() {
        fleet.hosts.filter { it.isRunning }.forEach { host ->
            val revision = host.revision
            val last = revisions.put(host.id, revision) ?: 0
            if (revision < last && revision != 0L) violations += "${fleet.nowMs} ms: ${host.id} went from revision $last to $revision"
        }
    }

    /** A host that says that its lists are fresh must have those that another, not cut off from it, has had for some seconds. */
    private fun checkFreshness() {
        noteCuts()
        val knowers = fleet.hosts.filter { it.isAwake && it.revision >= acceptedRevision }
        knownSinceMs.keys.retainAll(knowers.mapTo(mutableSetOf()) { it.id })
        knowers.forEach { knownSinceMs.putIfAbsent(it.id, fleet.nowMs) }
        val limitMs = fleet.nowMs - IN_FORCE_WITHIN_MS
        if (cutChangedMs > limitMs) return
        val sources = knowers.filter { knownSinceMs.getValue(it.id) <= limitMs }
        fleet.hosts
            .filter { host ->
                host.isAwake &&
                    host.revision < acceptedRevision &&
                    sources.any { !fleet.faults.isCut(it.region, host.region) }
            }.filter { it.isFresh }
            .forEach { violations += "${fleet.nowMs} ms: ${it.id} serves by ${it.revision}, not $acceptedRevision" }
    }

    private fun noteCuts() {
        if (cutRegions == fleet.faults.cutRegions) return
        cutRegions = fleet.faults.cutRegions.toSet()
        cutChangedMs = fleet.nowMs
    }

    private val FakeHost.revision: Long
        get() = configuration.register.revision

    private val FakeHost.isAwake: Boolean
        get() = isRunning && !isFrozen

    private companion object {
        const val IN_FORCE_WITHIN_MS = 7_000L
    }
}
