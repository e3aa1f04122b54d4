package io.kumquatmill.wire

import arrow.core.Either
import io.kumquatmill.node.message.PeerEnvelope
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes peer messages in CBOR; fields that a newer peer added are passed over. */
@OptIn(ExperimentalSerializationApi::class)
object PeerCodec {
    private val cbor = Cbor { ignoreUnknownKeys = true }

    /** Returns [envelope] in CBOR. */
    fun encode(envelope: PeerEnvelope): ByteArray = cbor.encodeToByteArray(envelope)

    /** Returns the envelope in [bytes], or what is wrong with them. */
    fun decode(bytes: ByteArray): Either<MalformedFrame, PeerEnvelope> =
        Either
            .catch { cbor.decodeFromByteArray<PeerEnvelope>(bytes) }
            .mapLeft { MalformedFrame(it.message ?: it.javaClass.simpleName) }
}
