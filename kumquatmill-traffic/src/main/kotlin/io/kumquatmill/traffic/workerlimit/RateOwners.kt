package io.kumquatmill.traffic.workerlimit

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash
import kotlin.math.min

/**
 * Divides a rate among the hosts of a fleet without a message: as far as hosts know the same hosts, they choose the same owners, each
 * of which has an equal part. A host more or less changes one owner.
 *
 * @param selfName name of this host
 */
internal class RateOwners(
    private val selfName: String,
) {
    private val selfHash = stableHash(selfName)

    /**
     * Returns this host's part of a rate from 0 to 1.
     *
     * @param rateHash hash that identifies the rate, so that different rates have different owners
     * @param hosts names of the hosts that may be owners; without this one it has no part
     */
    fun ownPart(
        rateHash: Long,
        hosts: Collection<String>,
        maxOwners: Int,
    ): Double {
        if (selfName !in hosts) return 0.0
        val owners = min(maxOwners, hosts.size)
        val ownScore = combineHashes(rateHash, selfHash)
        val isOwner = hosts.count { it != selfName && combineHashes(rateHash, stableHash(it)) > ownScore } < owners
        return if (isOwner) 1.0 / owners else 0.0
    }
}
