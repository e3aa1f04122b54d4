package io.kumquatmill.standins.platform

import io.kumquatmill.common.id.HostId
import io.kumquatmill.platform.HttpHostListClient
import io.kumquatmill.platform.PlatformClientSettings
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState
import io.kumquatmill.store.StoreError
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HostListStandinTest {
    private val host = HostId("h1")

    @Test
    fun `changes become visible to readers after the lag`() {
        val list = HostListStandin(lagMs = 100)
        list.setHostState(0, host, HostListState.LIVE)
        list.setHostState(50, host, HostListState.LEAVING)
        list.setHostState(90, host, state = null)
        val visibleStates = listOf(99L, 100L, 149L, 150L, 189L, 190L).map { nowMs -> list.read(nowMs).map { it.state } }
        val live = listOf(HostListState.LIVE)
        val leaving = listOf(HostListState.LEAVING)
        assertEquals(listOf(emptyList(), live, live, leaving, leaving, emptyList()), visibleStates)
    }

    @Test
    fun `the host list can be read over HTTP unless it is down`() {
        val server = PlatformStandinServer()
        server.state.withHostList { it.setHostState(Long.MIN_VALUE / 2, host, HostListState.LEAVING) }
        val client = HttpHostListClient(PlatformClientSettings(listOf(server.address)))
        val entries = client.read()
        server.state.withHostList { it.isDown = true }
        val resultWhileDown = client.read()
        client.close()
        server.close()
        assertEquals(listOf(HostListEntry(host, HostListState.LEAVING)), entries.getOrNull())
        assertIs<StoreError.Unavailable>(resultWhileDown.leftOrNull())
    }
}
