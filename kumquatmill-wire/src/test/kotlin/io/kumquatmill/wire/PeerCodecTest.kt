package io.kumquatmill.wire

import arrow.core.right
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.node.message.PeerMessage
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PeerCodecTest {
    private val envelope =
        PeerEnvelope(HostId("h1"), Incarnation(3), HostId("h2"), PeerMessage.Membership(MembershipMessage.RosterNotice(epoch = 7)))

    @Test
    fun `an envelope is equal after encoding and decoding`() {
        assertEquals(envelope.right(), PeerCodec.decode(PeerCodec.encode(envelope)))
    }

    @Test
    fun `every truncated envelope is malformed`() {
        val bytes = PeerCodec.encode(envelope)

        val accepted = bytes.indices.filter { PeerCodec.decode(bytes.copyOf(it)).isRight() }

        assertTrue(accepted.isEmpty(), "envelopes truncated to $accepted bytes were accepted")
    }
}
