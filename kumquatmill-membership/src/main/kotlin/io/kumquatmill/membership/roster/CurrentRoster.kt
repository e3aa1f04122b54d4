package io.kumquatmill.membership.roster

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.fleet.RosterView
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.message.RosterVersion
import io.kumquatmill.membership.record.RosterDocument
import io.kumquatmill.membership.store.DecodedEntry

/** Newest roster that this host has received from the store or a peer; its version only increases. */
internal class CurrentRoster {
    var entry: DecodedEntry<RosterDocument>? = null
        private set

    var view: RosterView? = null
        private set

    private var memberByHost: Map<HostId, Member> = emptyMap()

    val document: RosterDocument?
        get() = entry?.value

    val version: RosterVersion
        get() = document?.version ?: RosterVersion.none

    val members: List<Member>
        get() = document?.members.orEmpty()

    /** Replaces the roster by [candidate] if that is newer; returns whether it was. */
    fun replaceIfNewer(candidate: DecodedEntry<RosterDocument>): Boolean {
        if (candidate.value.version <= version) return false
        entry = candidate
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
