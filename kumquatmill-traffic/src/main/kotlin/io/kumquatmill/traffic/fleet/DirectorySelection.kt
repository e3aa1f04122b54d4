package io.kumquatmill.traffic.fleet

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.hash.toUnitInterval
import io.kumquatmill.common.hash.weightedRendezvousScore
import kotlin.math.max

/**
 * Chooses the hosts that the directory names to a caller, so that each host gets callers in proportion to its capacity.
 *
 * Callers choose a host at random for each connection, so all hosts of one answer get the same load whatever their capacity. Hosts of
 * similar capacity therefore form a class, and an answer consists of hosts of one class as far as possible. The class is that of the
 * caller's first host in the weighted rendezvous order of all hosts, so that each class gets callers in proportion to its capacity.
 * All hosts that know the same hosts give the same answer.
 *
 * Weights and classes depend on all known hosts, silent ones included. A host that fails, drains or is cut off is thus replaced by the
 * next host of the caller's order, while the others remain: callers close connections to hosts that an answer no longer names.
 */
object DirectorySelection {
    /**
     * Returns the hosts for the caller at [callerIp].
     *
     * @param serving hosts that the caller may use
     * @param known all known hosts of the fleet, of which those in the regions of [serving] are considered
     * @return [serving] unchanged if the capacity of a host is not known, or capacities differ by at most a factor of 4
     */
    fun select(
        callerIp: String,
        serving: List<EntryHostInfo>,
        known: Collection<EntryHostInfo>,
    ): DirectoryAnswer {
        val regions = serving.mapTo(HashSet()) { it.region }
        val weights = weights(known.filter { it.region in regions })
        val isUneven = weights.isNotEmpty() && weights.values.max() > weights.values.min() * MAX_CAPACITY_RATIO
        if (!isUneven || serving.any { it.host !in weights }) return DirectoryAnswer(serving, isByCapacity = false)
        val callerHash = stableHash(callerIp)
        val first = weights.maxBy { (host, weight) -> weightedRendezvousScore(callerHash, stableHash(host), weight) }.key
        val members = classes(weights).first { first in it }
        val order = compareBy<EntryHostInfo> { it.host !in members }.thenByDescending { orderScore(callerHash, it.host, weights) }
        val ordered = serving.sortedWith(order)
        val size = proportionalSize(members, weights).coerceIn(MIN_HOSTS, MAX_HOSTS)
        val zoneHosts = ordered.distinctBy { it.availabilityZone }.take(MIN_ZONES)
        return DirectoryAnswer((zoneHosts + ordered.take(size)).distinct(), isByCapacity = true)
    }

    /**
     * Returns the score of a host in the order of a caller's hosts. If an answer has several hosts, this quotient includes each of them
     * more nearly in proportion to its weight than the logarithm of [weightedRendezvousScore], which favours the weakest.
     */
    private fun orderScore(
        callerHash: Long,
        host: String,
        weights: Map<String, Double>,
    ): Double = weights.getValue(host) / max(toUnitInterval(combineHashes(callerHash xor ORDER_SALT, stableHash(host))), Double.MIN_VALUE)

    /**
     * Returns the capacity of each of [hosts] as a part of the whole, by name: the smaller of its parts of the processing capacity and of
     * the bandwidth. A resource that some host does not report is not considered; the result is empty if there is no other.
     */
    private fun weights(hosts: List<EntryHostInfo>): Map<String, Double> {
        val parts = listOf(hosts.map { it.cores }, hosts.map { it.linkMbps }).mapNotNull(::parts)
        if (parts.isEmpty()) return emptyMap()
        return hosts.indices.associate { index -> hosts[index].host to parts.minOf { it[index] } }
    }

    private fun parts(amounts: List<Double?>): List<Double>? {
        val valid = amounts.mapNotNull { amount -> amount?.takeIf { it.isFinite() && it > 0 } }
        if (valid.isEmpty() || valid.size < amounts.size) return null
        val total = valid.sum()
        return valid.map { it / total }
    }

    /**
     * Returns classes of hosts whose weights differ by at most [CLASS_RATIO]. Classes are merged where an answer of [MIN_HOSTS] hosts would
     * give the largest host of the class less than its part of the callers.
     */
    private fun classes(weights: Map<String, Double>): List<Set<String>> {
        val classes = ArrayList<LinkedHashSet<String>>()
        var largest = Double.MAX_VALUE
        val descending = weights.toList().sortedWith(compareByDescending<Pair<String, Double>> { it.second }.thenBy { it.first })
        descending.forEach { (host, weight) ->
            if (weight * CLASS_RATIO < largest) {
                largest = weight
                if (classes.isEmpty() || proportionalSize(classes.last(), weights) >= MIN_HOSTS) classes += LinkedHashSet<String>()
            }
            classes.last() += host
        }
        if (classes.size > 1 && proportionalSize(classes.last(), weights) < MIN_HOSTS) classes.removeLast().let { classes.last() += it }
        return classes
    }

    /** Returns the largest number of hosts in an answer with which the largest of [members] can get its part of the callers. */
    private fun proportionalSize(
        members: Set<String>,
        weights: Map<String, Double>,
    ): Int {
        val classWeights = members.map { weights.getValue(it) }
        return (classWeights.sum() / classWeights.max() + ROUNDING_TOLERANCE).toInt()
    }

    /** Up to this ratio of the largest to the smallest capacity, all hosts are listed. */
    private const val MAX_CAPACITY_RATIO = 4.0
    private const val CLASS_RATIO = 2.0

    /** With fewer hosts in an answer, the failure of one would cost a caller too many of its connections. */
    private const val MIN_HOSTS = 4

    /** With so many zones in an answer, the failure of a zone leaves a caller some hosts until its next lookup. */
    private const val MIN_ZONES = 3

    /** Callers read at most 64 addresses, of which [MIN_ZONES] may be outside the class. */
    private const val MAX_HOSTS = 61

    /** Makes the order of a caller's hosts independent of the choice of its class. */
    private const val ORDER_SALT = 0x2545F4914F6CDD1DL

    /** Keeps the rounding of a sum of equal weights from making an answer one host smaller. */
    private const val ROUNDING_TOLERANCE = 1e-6
}
