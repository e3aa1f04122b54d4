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

    @Test
    fun `a truncated list of indefinite length is malformed and does not exhaust the heap`() {
        val roster = MembershipMessage.RosterNotice(epoch = 7)
        val bytes = PeerCodec.encode(envelope.copy(message = PeerMessage.Membership(roster)))
        val unknownList = bytes.copyOf(bytes.size - 1) + byteArrayOf(0x61, 'x'.code.toByte(), 0x9F.toByte(), 1, 2)

        assertTrue(PeerCodec.decode(unknownList).isLeft(), "a truncated list was accepted")
        assertTrue(PeerCodec.decode(byteArrayOf(0x9A.toByte(), 0x7F, -1, -1, -1)).isLeft(), "a list of 2^31 - 1 elements was accepted")
    }
}
