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

/** Counts what the hosts of a fleet say to each other and to the store, since the last [reset]. */
internal class Traffic {
    private val bytesByHost = HashMap<HostId, Long>()
    private val messagesByPart = sortedMapOf<String, Long>()
    private val bytesByPart = sortedMapOf<String, Long>()
    private val writesBySecond = HashMap<Long, Int>()
    private val readsBySecond = HashMap<Long, Int>()

    /** Bytes of the answers of the store. */
    var storeAnswerBytes: Long = 0
        private set

    /** Bytes of the calls of the store. */
    var storeCallBytes: Long = 0
        private set

    /** Time spent on encoding and decoding messages between hosts. */
    var codecNs: Long = 0
        private set

    /** Time spent on decoding answers of the store. */
    var storeCodecNs: Long = 0
        private set

    val messages: Long get() = messagesByPart.values.sum()
    val peerBytes: Long get() = bytesByPart.values.sum()
    val writes: Long get() = writesBySecond.values.sumOf { it.toLong() }
    val reads: Long get() = readsBySecond.values.sumOf { it.toLong() }
    val peakWritesPerS: Int get() = writesBySecond.values.maxOrNull() ?: 0
    val peakReadsPerS: Int get() = readsBySecond.values.maxOrNull() ?: 0

    /** Peer bytes, sent and received, of the host that has most. */
    val busiestHostBytes: Long get() = bytesByHost.values.maxOrNull() ?: 0

    fun messagesOf(part: String): Long = messagesByPart[part] ?: 0

    fun bytesOf(part: String): Long = bytesByPart[part] ?: 0

    fun reset() {
        listOf(bytesByHost, messagesByPart, bytesByPart, writesBySecond, readsBySecond).forEach { it.clear() }
        storeAnswerBytes = 0
        storeCallBytes = 0
        codecNs = 0
        storeCodecNs = 0
    }

    /** Counts [envelope] as the wire carries it: CBOR with a length before it. */
    @OptIn(ExperimentalSerializationApi::class)
    fun onMessage(envelope: PeerEnvelope) {
        val startedNs = System.nanoTime()
        val encoded = Cbor.encodeToByteArray(PeerEnvelope.serializer(), envelope)
        Cbor.decodeFromByteArray(PeerEnvelope.serializer(), encoded)
        codecNs += System.nanoTime() - startedNs
        val sizeBytes = FRAME_BYTES + encoded.size
        val part = envelope.message.part
        messagesByPart.merge(part, 1, Long::plus)
        bytesByPart.merge(part, sizeBytes, Long::plus)
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
        storeAnswerBytes += HTTP_HEAD_BYTES + text.length
        val startedNs = System.nanoTime()
        StoreCodec.decodeResult(StoreCodec.statusOf(result), text)
        storeCodecNs += System.nanoTime() - startedNs
    }

    companion object {
        const val MEMBERSHIP: String = "membership"
        const val LEDGER: String = "share ledger"
        const val CONFIGURATION: String = "configuration"
        private const val MS_PER_S = 1_000L
        private const val FRAME_BYTES = 4L
        private const val HTTP_HEAD_BYTES = 150L

        private val PeerMessage.part: String
            get() =
                when (this) {
                    is PeerMessage.Ledger -> LEDGER
                    is PeerMessage.Membership -> MEMBERSHIP
                    is PeerMessage.Configuration -> CONFIGURATION
                }
    }
}
