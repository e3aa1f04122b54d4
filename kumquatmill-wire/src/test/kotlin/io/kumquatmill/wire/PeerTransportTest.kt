package io.kumquatmill.wire

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.Incarnation
import io.kumquatmill.membership.message.MembershipMessage
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.node.message.PeerMessage
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PeerTransportTest {
    private val received = LinkedBlockingQueue<PeerEnvelope>()
    private val opened = mutableListOf<AutoCloseable>()
    private val receiverAddress = freeAddress()
    private val senderAddress = freeAddress()
    private val quick = PeerTransportSettings(heartbeatIntervalMs = 50, silentMs = 300, reconnectMinMs = 10, reconnectMaxMs = 50)

    @AfterTest
    fun closeAll() = opened.forEach { it.close() }

    @Test
    fun `messages arrive in order over one connection`() {
        startReceiver()
        val sender = startSender()

        (1L..50L).forEach { sender.send(receiverAddress, envelope(it)) }

        assertEquals((1L..50L).toList(), List(50) { nextEpoch() })
        assertEquals(1, sender.counters.openedConnections)
    }

    @Test
    fun `a peer that restarts is reached again`() {
        val first = startReceiver()
        val sender = startSender()
        sender.send(receiverAddress, envelope(1))
        assertEquals(1, nextEpoch())

        first.close()
        startReceiver()

        assertTrue(eventually { sender.send(receiverAddress, envelope(2)).let { received.isNotEmpty() } })
    }

    @Test
    fun `a full ring drops the oldest messages and never waits`() {
        val sender = startSender(quick.copy(ringCapacity = 4))
        val unreachable = freeAddress()

        (1L..100L).forEach { sender.send(unreachable, envelope(it)) }

        assertTrue(sender.queuedMessages <= 4, "${sender.queuedMessages} messages are queued, at most 4 expected")
        assertTrue(sender.counters.droppedMessages >= 96, "${sender.counters.droppedMessages} were dropped, at least 96 expected")
    }

    @Test
    fun `a malformed frame closes its connection and no other`() {
        val receiver = startReceiver()
        val sender = startSender()
        sender.send(receiverAddress, envelope(1))
        assertEquals(1, nextEpoch())

        val isClosed = Socket(receiverAddress.ip, receiverAddress.port).use { it.writeAndAwaitEnd(byteArrayOf(0, 0, 0, 3, 1, 2, 3)) }
        sender.send(receiverAddress, envelope(2))

        assertTrue(isClosed, "the connection with the malformed frame is open")
        assertEquals(2, nextEpoch())
        assertEquals(1, receiver.counters.malformedFrames)
        assertEquals(1, sender.counters.openedConnections)
    }

    @Test
    fun `a frame above the size limit closes its connection unread`() {
        val receiver = startReceiver()

        val isClosed = Socket(receiverAddress.ip, receiverAddress.port).use { it.writeAndAwaitEnd(byteArrayOf(0x7f, 0, 0, 0)) }

        assertTrue(isClosed, "the connection with the oversized frame is open")
        assertEquals(1, receiver.counters.malformedFrames)
    }

    @Test
    fun `a connection that has gone silent is replaced by one that works`() {
        val silent = ServerSocket(receiverAddress.port, BACKLOG, InetAddress.getByName(receiverAddress.ip)).also { opened += it }
        silent.soTimeout = WAIT_MS
        val sender = startSender()
        sender.send(receiverAddress, envelope(1))
        silent.accept().also { opened += it }

        val isDetected = eventually { sender.counters.silentConnections == 1L }
        sender.send(receiverAddress, envelope(2))
        silent.accept().also { opened += it }

        assertTrue(isDetected, "${sender.counters.silentConnections} silent connections were closed, 1 expected")
        assertTrue(eventually { sender.counters.openedConnections == 2L }, "${sender.counters.openedConnections} were opened, 2 expected")
    }

    private fun startReceiver(): PeerTransport = started(PeerTransport(receiverAddress, quick) { received += it })

    private fun startSender(settings: PeerTransportSettings = quick): PeerTransport = started(PeerTransport(senderAddress, settings) { })

    private fun started(transport: PeerTransport): PeerTransport {
        transport.start()
        opened += transport
        return transport
    }

    private fun envelope(epoch: Long) =
        PeerEnvelope(HostId("h1"), Incarnation(1), HostId("h2"), PeerMessage.Membership(MembershipMessage.RosterNotice(epoch)))

    private fun nextEpoch(): Long? =
        (received.poll(5, TimeUnit.SECONDS)?.message as? PeerMessage.Membership)?.let {
            (it.message as MembershipMessage.RosterNotice).epoch
        }

    private fun Socket.writeAndAwaitEnd(bytes: ByteArray): Boolean {
        soTimeout = WAIT_MS
        DataOutputStream(getOutputStream()).write(bytes)
        return getInputStream().read() == -1
    }

    private fun eventually(check: () -> Boolean): Boolean = (1..ATTEMPTS).any { check() || Thread.sleep(ATTEMPT_MS).let { false } }

    private fun freeAddress(): HostAddress = HostAddress("127.0.0.1", ServerSocket(0).use { it.localPort })

    private companion object {
        const val WAIT_MS = 5_000
        const val ATTEMPTS = 100
        const val ATTEMPT_MS = 50L
        const val BACKLOG = 50
    }
}
