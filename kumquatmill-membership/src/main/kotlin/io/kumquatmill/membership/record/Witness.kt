package io.kumquatmill.membership.record

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlinx.serialization.Serializable

/** A member that vouches for an epoch; another incarnation of the host does not count. */
@Serializable
data class Witness(
    val host: HostId,
    val incarnation: Incarnation,
)

/** Returns this member as a witness. */
internal fun Member.toWitness(): Witness = Witness(host, incarnation)

/** Returns how many of this many witnesses are a majority. */
internal fun majorityOf(count: Int): Int = count / 2 + 1
