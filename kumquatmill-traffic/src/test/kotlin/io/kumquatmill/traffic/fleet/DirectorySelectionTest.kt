package io.kumquatmill.traffic.fleet

import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class DirectorySelectionTest {
    private val callers = (0 until 600).map { "10.9.${it / 250}.${it % 250}" }
    private val zones = listOf("east-a", "east-b")

    /** One region of the photo inspection deployment: few large hosts, many small ones. */
    private val photoHosts =
        (1..4).map { host("large-$it", zones[it % 2], 1.5, 140.0 + 15 * it) } + (1..29).map { host("small-$it", zones[it % 2], 0.21, 10.0) }

    /** One region of the lecture deployment: links differ far more than processors. */
    private val lectureHosts =
        listOf(140.0, 120.0, 95.0, 80.0, 60.0, 45.0, 30.0, 22.0, 14.0, 9.0, 7.0).mapIndexed { index, linkMbps ->
            host("lecture-$index", zones[index % 2], 0.69 + 0.08 * index, linkMbps)
        }

    private fun host(
        name: String,
        zone: String,
        cores: Double?,
        linkMbps: Double? = null,
    ) = EntryHostInfo(name, "10.1.0.1", "east", zone, cores, linkMbps)

    private fun names(
        callerIp: String,
        serving: List<EntryHostInfo>,
        known: List<EntryHostInfo> = serving,
    ) = DirectorySelection.select(callerIp, serving, known).hosts.mapTo(HashSet()) { it.host }

    /** Returns the part of all connections that each host gets if the callers at [callerIps] open the same number of them. */
    private fun shares(
        hosts: List<EntryHostInfo>,
        callerIps: List<String> = callers,
    ): Map<String, Double> {
        val shares = hosts.associateTo(HashMap()) { it.host to 0.0 }
        callerIps.forEach { ip ->
            names(ip, hosts).let { names -> names.forEach { shares.merge(it, 1.0 / names.size / callerIps.size, Double::plus) } }
        }
        return shares
    }

    private fun capacityParts(hosts: List<EntryHostInfo>): Map<String, Double> {
        val cores = hosts.sumOf { it.cores!! }
        val linkMbps = hosts.sumOf { it.linkMbps!! }
        val parts = hosts.associate { it.host to minOf(it.cores!! / cores, it.linkMbps!! / linkMbps) }
        return parts.mapValues { it.value / parts.values.sum() }
    }

    @Test
    fun `hosts get callers in proportion to their capacity, and weak hosts get some`() =
        listOf(photoHosts to 0.05, lectureHosts to 0.25).forEach { (hosts, tolerance) ->
            val parts = capacityParts(hosts)
            shares(hosts).forEach { (host, share) ->
                val ratio = share / parts.getValue(host)
                assertTrue(abs(ratio - 1) <= tolerance, "expected a share of ${parts[host]} for $host, found $share")
            }
        }

    @Test
    fun `callers behind a few addresses do not overload single hosts`() {
        val parts = capacityParts(photoHosts)
        (1..40).forEach { start ->
            val few = shares(photoHosts, callers.drop(start * 10).take(3))
            val worst = few.maxOf { (host, share) -> share / parts.getValue(host) }
            assertTrue(worst <= 2.8, "expected at most 2.8 times the share of any host, found $worst")
        }
    }

    @Test
    fun `a host that fails is replaced for its own callers only, and the rest of their hosts remains`() =
        listOf(photoHosts, lectureHosts).forEach { hosts ->
            hosts.forEach { failed ->
                val moved =
                    callers.take(100).count { ip ->
                        val before = names(ip, hosts)
                        val after = names(ip, hosts - failed, known = hosts)
                        if (failed.host !in before) assertEquals(before, after)
                        assertTrue(after.containsAll(before - failed.host), "a host was lost beside the failed one")
                        assertTrue(after.size >= 4)
                        failed.host in before
                    }
                assertTrue(moved < 100, "expected that some callers do not use ${failed.host}")
            }
        }

    @Test
    fun `a host that is forgotten moves few callers beside its own`() {
        val forgotten = photoHosts.last()
        val others = callers.filter { forgotten.host !in names(it, photoHosts) }
        val moved = others.count { names(it, photoHosts) != names(it, photoHosts - forgotten) }
        assertTrue(moved <= others.size / 20, "$moved of ${others.size} callers moved")
        callers.forEach { assertTrue(names(it, photoHosts.drop(4), known = photoHosts).size >= 4, "no large host serves") }
    }

    @Test
    fun `an answer has hosts of three zones if there are as many, and of all zones otherwise`() {
        val threeZones = photoHosts.map { if (it.host.startsWith("small-1")) it.copy(availabilityZone = "east-c") else it }
        listOf(threeZones to 3, photoHosts to 2).forEach { (hosts, zones) ->
            callers.map { DirectorySelection.select(it, hosts, hosts).hosts }.forEach { answer ->
                assertEquals(zones, answer.distinctBy { it.availabilityZone }.size)
                assertTrue(answer.size >= 4)
            }
        }
    }

    @Test
    fun `all hosts are listed in today's order while capacities differ by at most a factor of four or one is unknown`() {
        val even = (1..6).map { host("h$it", "east-a", if (it == 1) 0.25 else 1.0, 100.0) }
        val earlierBuild = photoHosts + host("old", "east-a", null)
        val invalid = photoHosts + host("bad", "east-a", Double.NaN, -1.0)
        val unknown = even.map { it.copy(cores = null, linkMbps = null) }
        listOf(even to even, earlierBuild to earlierBuild, invalid to invalid, unknown to unknown, photoHosts to earlierBuild)
            .forEach { (serving, known) ->
                assertEquals(DirectoryAnswer(serving, isByCapacity = false), DirectorySelection.select("10.9.0.1", serving, known))
            }
        val linkUnknown = photoHosts + host("no-link", "east-a", 1.5)
        assertTrue(DirectorySelection.select("10.9.0.1", linkUnknown, linkUnknown).isByCapacity)
    }
}
