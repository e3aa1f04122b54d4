package io.kumquatmill.gateway.peer

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.gateway.http.EventLoopHttpClient
import io.kumquatmill.gateway.http.HttpCall
import io.kumquatmill.gateway.store.NoChanges
import io.kumquatmill.gateway.store.PeerChanges
import io.kumquatmill.traffic.fleet.PeerReport
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Asks peers for changes of the store, at their listener for peers at [port]. */
internal class PeerChangesClient(
    private val httpClient: EventLoopHttpClient,
    private val port: Int,
) {
    /** Asks [peer] for the changes after [afterRevision]. */
    fun ask(
        peer: PeerReport,
        afterRevision: Long,
        onAnswer: (Either<NoChanges, PeerChanges>) -> Unit,
    ) {
        val address = HostAddress(peer.ip, port)
        val call =
            HttpCall(
                address = address,
                method = "GET",
                target = "$PATH?$AFTER_PARAMETER=$afterRevision",
                headers = listOf("Host" to address.toString()),
                connectTimeoutMs = TIMEOUT_MS,
                timeoutMs = TIMEOUT_MS,
            )
        httpClient.send(call) { onAnswer((it as? CallResult.Response)?.let(::decode) ?: NoChanges.NO_ANSWER.left()) }
    }

    private fun decode(response: CallResult.Response): Either<NoChanges, PeerChanges> =
        try {
            when (response.status) {
                OK -> json.decodeFromString(PeerChanges.serializer(), String(response.body)).right()
                GONE -> NoChanges.LACKING.left()
                else -> NoChanges.NO_ANSWER.left()
            }
        } catch (_: SerializationException) {
            NoChanges.NO_ANSWER.left()
        }

    companion object {
        /** Path at which a host serves changes of the store to peers. */
        const val PATH = "/peer/changes"

        /** Query parameter for the revision after which changes are asked for. */
        const val AFTER_PARAMETER = "after"

        /** A host of the same availability zone answers within milliseconds. */
        private const val TIMEOUT_MS = 300L
        private const val OK = 200
        private const val GONE = 410
        private val json = Json { ignoreUnknownKeys = true }
    }
}
