package io.kumquatmill.configuration.sync

import io.kumquatmill.common.fleet.OutgoingMessage
import io.kumquatmill.common.id.HostId
import io.kumquatmill.configuration.json.encodeConfiguration
import io.kumquatmill.configuration.testConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationSyncTest {
    private val sync = ConfigurationSync()
    private val peer = HostId("peer")

    private fun expectedPull(haveRevision: Long) = listOf(OutgoingMessage(peer, ConfigurationMessage.Pull(haveRevision)))

    @Test
    fun `a host without a configuration immediately requests it from the first peer that has one`() {
        assertEquals(expectedPull(haveRevision = 0), sync.onPeerRevision(0, peer, 5).sends)
    }

    @Test
    fun `a host with a configuration waits for the store before it asks a peer`() {
        sync.onStoreValue(encodeConfiguration(testConfiguration), 4)
        assertEquals(emptyList(), sync.onPeerRevision(0, peer, 5).sends)
        assertEquals(expectedPull(haveRevision = 4), sync.onTick(300).sends)
    }

    @Test
    fun `a request is repeated only after its timeout`() {
        sync.onPeerRevision(0, peer, 5)
        assertEquals(emptyList(), sync.onTick(999).sends)
        assertEquals(expectedPull(haveRevision = 0), sync.onTick(1_000).sends)
    }

    @Test
    fun `a configuration from the store makes the request unnecessary`() {
        sync.onStoreValue(encodeConfiguration(testConfiguration), 4)
        sync.onPeerRevision(0, peer, 5)
        sync.onStoreValue(encodeConfiguration(testConfiguration), 5)
        assertEquals(emptyList(), sync.onTick(300).sends)
    }

    @Test
    fun `a peer with an older revision is sent the active configuration`() {
        val other = ConfigurationSync()
        other.onStoreValue(encodeConfiguration(testConfiguration), 7)
        val push = other.onMessage(peer, ConfigurationMessage.Pull(haveRevision = 0)).sends.single()
        assertEquals(true, sync.onMessage(HostId("other"), push.message).isChanged)
        assertEquals(7, sync.current.revision)
        assertEquals(emptyList(), other.onMessage(peer, ConfigurationMessage.Pull(haveRevision = 7)).sends)
    }
}
