package io.kumquatmill.gateway.peer

import io.kumquatmill.common.net.ReservedPorts
import io.kumquatmill.gateway.log.EventLog
import io.kumquatmill.traffic.ratelimit.LoanGrant
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class PeerSocketTest {
    private val loopback = InetAddress.getByName("127.0.0.1")
    private val port = ReservedPorts.next()

    private fun grant(number: Long) = LoanGrant("h2", "alpha", 1.0, number)

    @Test
    fun `messages are received after malformed datagrams and after a handler that failed`() {
        val received = LinkedBlockingQueue<Long>()
        val receiver =
            PeerSocket("127.0.0.1", port, EventLog()) { message ->
                val number = checkNotNull(message.grant).number
                received.put(number)
                check(number != 1L) { "handler fails" }
            }
        val random = Random(3)
        receiver.use {
            receiver.start()
            DatagramSocket().use { sender ->
                fun send(bytes: ByteArray) = sender.send(DatagramPacket(bytes, bytes.size, loopback, port))
                send(PeerMessageCodec.encode(PeerMessage(grant = grant(1))))
                send(ByteArray(0))
                repeat(100) { send(random.nextBytes(random.nextInt(1, 1_000))) }
                send(byteArrayOf(0xBF.toByte(), 0x61, 'r'.code.toByte(), 0x9F.toByte(), 1))
                Thread.sleep(200)
                send(PeerMessageCodec.encode(PeerMessage(grant = grant(2))))
            }
            assertEquals(listOf<Long?>(1, 2), List(2) { received.poll(5, TimeUnit.SECONDS) })
        }
    }
}
