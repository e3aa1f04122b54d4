package io.kumquatmill.wire

import arrow.core.Either
import arrow.core.left
import io.kumquatmill.common.cbor.isWellFormedCbor
import io.kumquatmill.node.message.PeerEnvelope
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** CBOR codec of peer messages; unknown fields are ignored, as a newer release of a peer may have added them. */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Encodes [envelope]. */
    fun encode(envelope: PeerEnvelope): ByteArray = cbor.encodeToByteArray(envelope)

    /** Decodes an envelope from [bytes], or returns why they are malformed. */
    fun decode(bytes: ByteArray): Either<MalformedFrame, PeerEnvelope> =
        if (isWellFormedCbor(bytes)) {
            Either
                .catch { cbor.decodeFromByteArray<PeerEnvelope>(bytes) }
                .mapLeft { MalformedFrame(it.message ?: it.javaClass.simpleName) }
        } else {
            MalformedFrame("not one complete CBOR item").left()
        }
}
