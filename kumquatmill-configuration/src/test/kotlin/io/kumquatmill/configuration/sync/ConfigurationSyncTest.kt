package io.kumquatmill.configuration.sync

import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.id.HostId
import io.kumquatmill.configuration.json.encodeLists
import io.kumquatmill.configuration.testLists
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationSyncTest {
    private val sync = ConfigurationSync()
    private val peer = HostId("peer")

    private fun pull(haveRevision: Long) = listOf(OutgoingMessage(peer, ConfigurationMessage.Pull(haveRevision)))

    @Test
    fun `a host without lists asks the first peer that has some`() {
        assertEquals(pull(haveRevision = 0), sync.onPeerRevision(0, peer, 5).sends)
    }

    @Test
    fun `a host with lists leaves time for the store before it asks`() {
        sync.onStoreValue(encodeLists(testLists), 4)
        assertEquals(emptyList(), sync.onPeerRevision(0, peer, 5).sends)
        assertEquals(pull(haveRevision = 4), sync.onTick(300).sends)
    }

    @Test
    fun `a question is repeated only after its timeout`() {
        sync.onPeerRevision(0, peer, 5)
        assertEquals(emptyList(), sync.onTick(999).sends)
        assertEquals(pull(haveRevision = 0), sync.onTick(1_000).sends)
    }

    @Test
    fun `lists that arrived from the store end the question`() {
        sync.onStoreValue(encodeLists(testLists), 4)
        sync.onPeerRevision(0, peer, 5)
        sync.onStoreValue(encodeLists(testLists), 5)
        assertEquals(emptyList(), sync.onTick(300).sends)
    }

    @Test
    fun `a peer that is behind is sent the lists in force`() {
        val other = ConfigurationSync()
        other.onStoreValue(encodeLists(testLists), 7)
        val push = other.onMessage(peer, ConfigurationMessage.Pull(haveRevision = 0)).sends.single()
        assertEquals(true, sync.onMessage(HostId("other"), push.message).isChanged)
        assertEquals(7, sync.register.revision)
        assertEquals(emptyList(), other.onMessage(peer, ConfigurationMessage.Pull(haveRevision = 7)).sends)
    }
}
