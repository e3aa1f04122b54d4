package io.kumquatmill.membership.record

import io.kumquatmill.common.fleet.Member
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import kotlinx.serialization.Serializable

/** A member whose vote counts towards standing under an epoch; a vote of another incarnation of the host does not count. */
@Serializable
data class Witness(
    val host: HostId,
    val incarnation: Incarnation,
)

/** Returns this member as a witness. */
internal fun Member.toWitness(): Witness = Witness(host, incarnation)

/** Returns the smallest number of witnesses that is a majority of [count]. */
internal fun majorityOf(count: Int): Int = count / 2 + 1
