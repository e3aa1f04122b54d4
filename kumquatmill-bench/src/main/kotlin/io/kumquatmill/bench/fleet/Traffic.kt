package io.kumquatmill.bench.fleet

import arrow.core.Either
import io.kumquatmill.common.id.HostId
import io.kumquatmill.node.message.PeerEnvelope
import io.kumquatmill.node.message.PeerMessage
import io.kumquatmill.platform.StoreCodec
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import io.kumquatmill.store.kind
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor

/** Counts the peer messages and store calls of a fleet since the last [reset]. */
internal class Traffic {
    private val bytesByHost = HashMap<HostId, Long>()
    private val messagesByComponent = sortedMapOf<String, Long>()
    private val bytesByComponent = sortedMapOf<String, Long>()
    private val writesBySecond = HashMap<Long, Int>()
    private val readsBySecond = HashMap<Long, Int>()

    /** Size of all store replies in bytes, with their HTTP heads. */
    var storeReplyBytes: Long = 0
        private set

    /** Size of all store calls in bytes, with their HTTP heads. */
    var storeCallBytes: Long = 0
        private set

    /** Time spent encoding and decoding peer messages, in nanoseconds. */
    var codecNs: Long = 0
        private set

    /** Time spent decoding store replies, in nanoseconds. */
    var storeCodecNs: Long = 0
        private set

    val messages: Long get() = messagesByComponent.values.sum()
    val peerBytes: Long get() = bytesByComponent.values.sum()
    val writes: Long get() = writesBySecond.values.sumOf { it.toLong() }
    val reads: Long get() = readsBySecond.values.sumOf { it.toLong() }
    val peakWritesPerS: Int get() = writesBySecond.values.maxOrNull() ?: 0
    val peakReadsPerS: Int get() = readsBySecond.values.maxOrNull() ?: 0

    /** Peer bytes sent and received by the host with the most. */
    val busiestHostBytes: Long get() = bytesByHost.values.maxOrNull() ?: 0

    fun messagesOf(component: String): Long = messagesByComponent[component] ?: 0

    fun bytesOf(component: String): Long = bytesByComponent[component] ?: 0

    fun reset() {
        listOf(bytesByHost, messagesByComponent, bytesByComponent, writesBySecond, readsBySecond).forEach { it.clear() }
        storeReplyBytes = 0
        storeCallBytes = 0
        codecNs = 0
        storeCodecNs = 0
    }

    /** Counts [envelope] in its wire format: CBOR, preceded by its length. */
    @OptIn(ExperimentalSerializationApi::class)
    fun onMessage(envelope: PeerEnvelope) {
        val startedNs = System.nanoTime()
        val encoded = Cbor.encodeToByteArray(PeerEnvelope.serializer(), envelope)
        Cbor.decodeFromByteArray(PeerEnvelope.serializer(), encoded)
        codecNs += System.nanoTime() - startedNs
        val sizeBytes = FRAME_HEADER_BYTES + encoded.size
        val component = envelope.message.component
        messagesByComponent.merge(component, 1, Long::plus)
        bytesByComponent.merge(component, sizeBytes, Long::plus)
        bytesByHost.merge(envelope.from, sizeBytes, Long::plus)
        bytesByHost.merge(envelope.to, sizeBytes, Long::plus)
    }

    fun onStoreCall(
        nowMs: Long,
        call: StoreCall,
    ) {
        val counts = if (call.kind.isWrite) writesBySecond else readsBySecond
        counts.merge(nowMs / MS_PER_S, 1, Int::plus)
        storeCallBytes += HTTP_HEAD_BYTES + StoreCodec.encodeCall(call).length
    }

    fun onStoreResult(result: Either<StoreError, StoreReply>) {
        val text = StoreCodec.encodeResult(result)
        storeReplyBytes += HTTP_HEAD_BYTES + text.length
        val startedNs = System.nanoTime()
        StoreCodec.decodeResult(StoreCodec.statusOf(result), text)
        storeCodecNs += System.nanoTime() - startedNs
    }

    companion object {
        const val MEMBERSHIP: String = "membership"
        const val LEDGER: String = "share ledger"
        const val CONFIGURATION: String = "configuration"
        private const val MS_PER_S = 1_000L
        private const val FRAME_HEADER_BYTES = 4L
        private const val HTTP_HEAD_BYTES = 150L

        private val PeerMessage.component: String
            get() =
                when (this) {
                    is PeerMessage.Ledger -> LEDGER
                    is PeerMessage.Membership -> MEMBERSHIP
                    is PeerMessage.Configuration -> CONFIGURATION
                }
    }
}
