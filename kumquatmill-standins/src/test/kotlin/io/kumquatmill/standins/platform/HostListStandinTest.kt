package io.kumquatmill.standins.platform

import io.kumquatmill.common.id.HostId
import io.kumquatmill.platform.HttpHostListClient
import io.kumquatmill.platform.PlatformSettings
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState
import io.kumquatmill.store.StoreError
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HostListStandinTest {
    private val host = HostId("h1")

    @Test
    fun `readers see edits after the lag`() {
        val list = HostListStandin(lagMs = 100)
        list.edit(0, host, HostListState.LIVE)
        list.edit(50, host, HostListState.LEAVING)
        list.edit(90, host, state = null)
        val seen = listOf(99L, 100L, 149L, 150L, 189L, 190L).map { nowMs -> list.read(nowMs).map { it.state } }
        val live = listOf(HostListState.LIVE)
        val leaving = listOf(HostListState.LEAVING)
        assertEquals(listOf(emptyList(), live, live, leaving, leaving, emptyList()), seen)
    }

    @Test
    fun `the list is read over HTTP while it is up`() {
        val server = PlatformStandinServer()
        server.state.withHostList { it.edit(Long.MIN_VALUE / 2, host, HostListState.LEAVING) }
        val client = HttpHostListClient(PlatformSettings(listOf(server.address)))
        val entries = client.read()
        server.state.withHostList { it.isDown = true }
        val withoutList = client.read()
        client.close()
        server.close()
        assertEquals(listOf(HostListEntry(host, HostListState.LEAVING)), entries.getOrNull())
        assertIs<StoreError.Unavailable>(withoutList.leftOrNull())
    }
}
