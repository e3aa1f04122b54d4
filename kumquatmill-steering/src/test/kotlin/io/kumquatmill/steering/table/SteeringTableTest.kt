package io.kumquatmill.steering.table

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.steering.host.SteeringHost
import io.kumquatmill.steering.host.SteeringHostState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class SteeringTableTest {
    private val regions = listOf(RegionId("zapad"), RegionId("stred"), RegionId("vychod"))
    private val hosts = (0 until 7).map { host(it) }
    private val workspaces = (1..200).map { WorkspaceId("workspace-$it") }

    @Test
    fun `callers get live hosts of their own region first`() {
        val table = table(hosts)
        for (workspace in workspaces) {
            val answer = table.lookUp(workspace, "10.1.2.3")
            assertEquals(setOf(regions[0]), answer.hosts.map { it.region }.toSet())
            assertEquals(regions.drop(1).toSet(), answer.alternates.map { it.region }.toSet())
        }
    }

    @Test
    fun `answers do not depend on the order of the list of hosts`() {
        val table = table(hosts)
        val shuffledTable = table(hosts.shuffled(kotlin.random.Random(4)))
        for (workspace in workspaces) {
            assertEquals(table.lookUp(workspace, "10.1.2.3"), shuffledTable.lookUp(workspace, "10.1.2.3"))
        }
    }

    @Test
    fun `leaving and gone hosts are left out and suspected hosts come last`() {
        val table =
            table(
                listOf(host(0, SteeringHostState.LEAVING), host(3, SteeringHostState.SUSPECTED), host(6)) +
                    host(1, SteeringHostState.GONE),
            )
        for (workspace in workspaces) {
            val answer = table.lookUp(workspace, "10.1.2.3")
            assertEquals(listOf("host-6", "host-3"), answer.hosts.map { it.host.value })
            assertEquals(emptyList(), answer.alternates)
            assertEquals(SteeringSettings.DEFAULT_SUSPECT_CACHE_MS, answer.cacheMs)
        }
    }

    @Test
    fun `callers of a region without live hosts go to another region`() {
        val table = table(hosts.filter { it.region != regions[0] } + host(0, SteeringHostState.SUSPECTED))
        val answer = table.lookUp(workspaces[0], "10.1.2.3")
        assertTrue(answer.hosts.none { it.region == regions[0] }, "hosts: ${answer.hosts}")
        assertEquals(
            "host-0",
            answer.alternates
                .last()
                .host.value,
        )
        assertEquals(emptyList(), table(emptyList()).lookUp(workspaces[0], "10.1.2.3").hosts)
    }

    @Test
    fun `a small workspace uses one host and a large one several`() {
        val table = table(hosts)
        val callers = (0 until 300).map { "10.1.${it / 250}.${it % 250}" }
        val small =
            callers
                .map {
                    table
                        .lookUp(WorkspaceId("workspace-1"), it)
                        .hosts
                        .first()
                        .host
                }.toSet()
        val large =
            callers
                .map {
                    table
                        .lookUp(WorkspaceId("large"), it)
                        .hosts
                        .first()
                        .host
                }.groupingBy { it }
                .eachCount()
        assertEquals(1, small.size)
        assertEquals(2, large.size)
        assertTrue(large.values.min() > 100, "callers at each host: $large, expected about 150 each")
    }

    @Test
    fun `only the workspaces of a leaving host move`() {
        val before = table(hosts)
        val after = table(hosts.map { if (it.host.value == "host-3") it.copy(state = SteeringHostState.LEAVING) else it })
        for (workspace in workspaces) {
            val first = before.lookUp(workspace, "10.1.2.3").hosts.first()
            if (first.host.value != "host-3") assertEquals(first, after.lookUp(workspace, "10.1.2.3").hosts.first())
        }
    }

    private fun table(hosts: List<SteeringHost>) =
        SteeringTable(hosts, regionsOf = { listOf(regions[0]) }, demandPerS = { if (it.value == "large") 400.0 else 20.0 })

    private fun host(
        number: Int,
        state: SteeringHostState = SteeringHostState.LIVE,
    ) = SteeringHost(HostId("host-$number"), regions[number % 3], HostAddress("10.9.0.$number", 80), state)
}
