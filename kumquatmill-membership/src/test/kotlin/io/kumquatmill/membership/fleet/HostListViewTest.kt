package io.kumquatmill.membership.fleet

import io.kumquatmill.common.id.HostId
import io.kumquatmill.store.HostListEntry
import io.kumquatmill.store.HostListState
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class HostListViewTest {
    private val self = HostId("self")
    private val other = HostId("other")
    private val view = HostListView(self, lagMs = 10_000)

    private fun listed(hosts: List<HostId>) = hosts.map { HostListEntry(it, HostListState.LIVE) }

    @Test
    fun `a host that disappears from the list is gone`() {
        view.update(0, listed(listOf(self, other)))
        assertFalse(view.isGone(0, other))
        view.update(1_000, listed(listOf(self)))
        assertTrue(view.isGone(1_000, other))
    }

    @Test
    fun `a host that was never listed counts as gone only after the lag of the list`() {
        view.update(0, listed(listOf(self)))
        assertFalse(view.isGone(9_999, other))
        assertTrue(view.isGone(10_000, other))
    }

    @Test
    fun `a list without this host is not trusted about other hosts`() {
        view.update(0, listed(listOf(self, other)))
        view.update(1_000, emptyList())
        assertFalse(view.isGone(60_000, other))
    }
}
