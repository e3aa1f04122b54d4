package io.kumquatmill.membership.roster

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterView
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.message.RosterVersion
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.store.Stored

/** The newest roster that this host has, from the store or a peer; it never goes backwards. */
internal class RosterHolder {
    var stored: Stored<RosterDocument>? = null
        private set

    var view: RosterView? = null
        private set

    private var memberByHost: Map<HostId, Member> = emptyMap()

    val document: RosterDocument?
        get() = stored?.value

    val version: RosterVersion
        get() = document?.version ?: RosterVersion.none

    val members: List<Member>
        get() = document?.members.orEmpty()

    /** Takes [candidate] if it is newer; returns whether it was. */
    fun offer(candidate: Stored<RosterDocument>): Boolean {
        if (candidate.value.version <= version) return false
        stored = candidate
        view = candidate.value.toView()
        memberByHost = candidate.value.members.associateBy { it.host }
        return true
    }

    fun memberOf(host: HostId): Member? = memberByHost[host]

    fun isMember(
        host: HostId,
        incarnation: Incarnation,
    ): Boolean = memberOf(host)?.incarnation == incarnation
}
