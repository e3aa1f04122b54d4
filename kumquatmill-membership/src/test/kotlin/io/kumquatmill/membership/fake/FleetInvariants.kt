package io.kumquatmill.membership.fake

import io.kumquatmill.common.fleet.RosterPhase
import io.kumquatmill.common.id.HostId

/** Checks at each step what must always hold, and keeps the violations. */
internal class FleetInvariants(
    private val fleet: FakeFleet,
) {
    private val lastRevision = mutableMapOf<HostId, Long>()
    val violations = mutableListOf<String>()

    fun check() {
        checkEpochs()
        checkRevisions()
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
            val revision = host.configuration.register.revision
            val last = lastRevision.put(host.id, revision) ?: 0
            if (revision < last && revision != 0L) violations += "${fleet.nowMs} ms: ${host.id} went from revision $last to $revision"
        }
    }
}
