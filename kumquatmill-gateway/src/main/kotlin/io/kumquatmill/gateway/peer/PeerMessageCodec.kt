package io.kumquatmill.gateway.peer

import io.kumquatmill.common.cbor.isWellFormedCbor
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** CBOR encoding of [PeerMessage]s. Unknown fields are ignored, as a newer release of a peer may have added them. */
@OptIn(ExperimentalSerializationApi::class)
object PeerMessageCodec {
    @Serializable
    private class Frame(
        @SerialName("r") val report: ReportFrame? = null,
        @SerialName("l") val loanRequest: LoanRequest? = null,
        @SerialName("g") val grant: LoanGrant? = null,
    )

    private val cbor = Cbor { ignoreUnknownKeys = true }

    fun encode(message: PeerMessage): ByteArray =
        cbor.encodeToByteArray(Frame(message.report?.let(ReportFrame::of), message.loanRequest, message.grant))

    /** Decodes a datagram of any sender. Throws [MalformedPeerMessageException] if it is not a message of a host. */
    fun decode(bytes: ByteArray): PeerMessage {
        if (!isWellFormedCbor(bytes)) throw MalformedPeerMessageException("not one complete CBOR item")
        return decodeWellFormed(bytes)
    }

    @Suppress("TooGenericExceptionCaught")
    private fun decodeWellFormed(bytes: ByteArray): PeerMessage =
        try {
            val frame = cbor.decodeFromByteArray<Frame>(bytes)
            PeerMessage(frame.report?.toReport(), frame.loanRequest, frame.grant)
        } catch (e: RuntimeException) {
            // The decoder reports some malformed input by exceptions of array accesses and conversions.
            throw MalformedPeerMessageException(e.message ?: e.javaClass.simpleName, e)
        }
}
