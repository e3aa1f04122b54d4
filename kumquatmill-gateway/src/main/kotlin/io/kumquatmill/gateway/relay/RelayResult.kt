package io.kumquatmill.gateway.relay

import io.kumquatmill.gateway.caller.otherIdFlaw
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.traffic.control.AnswerDoubt
import io.kumquatmill.traffic.control.AttemptResult
import io.undertow.util.HeaderMap

/** How a request that a host passed on for a peer ended; [wireName] is its name between hosts. */
internal enum class RelayResult(
    val wireName: String,
) {
    /** The worker responded over a new connection. */
    RESPONSE("response"),

    /** The worker responded over a connection that had carried other responses before. */
    RESPONSE_REUSED("response-reused"),

    /** No connection to the worker could be opened; nothing was sent. */
    UNREACHABLE("unreachable"),

    /** The request was sent, and no complete response was received. */
    INCOMPLETE("incomplete"),

    /** The host did not pass the request on. */
    REFUSED("refused"),
    ;

    companion object {
        private val byWireName = entries.associateBy { it.wireName }

        /** Returns the result that [name] stands for, or null if it is none. */
        fun of(name: String?): RelayResult? = byWireName[name]
    }
}

/** What a call to a peer that was to pass a request on tells about the attempt. */
internal sealed interface RelayedCall {
    /**
     * The worker's response, as if it had been received directly; [isFramingChecked] states whether the peer checks that it is one, and
     * [mayBeCopy] whether the peer's connection to the worker may have carried the request before.
     */
    class Response(
        val response: CallResult.Response,
        private val isFramingChecked: Boolean,
        private val mayBeCopy: Boolean,
    ) : RelayedCall {
        /** Returns [classified], what the response says about the request, unless its refusal may be that of another answer. */
        fun believed(classified: AttemptResult): AttemptResult =
            when {
                !classified.isNotRun -> classified
                !isFramingChecked ->
                    AttemptResult.Unknown("the peer does not check that the refusal is one answer", doubt = AnswerDoubt.FRAMING)
                mayBeCopy -> AttemptResult.Unknown("the refusal may be the copy of an earlier one at the peer", doubt = AnswerDoubt.REPEAT)
                else -> classified
            }
    }

    /** The attempt ended without a response of the worker. */
    class Ended(
        val result: AttemptResult,
    ) : RelayedCall

    companion object {
        /** Returns whether a response of a peer with [headers] has the status and headers of a worker's response. */
        fun isFromWorker(headers: HeaderMap): Boolean =
            RelayResult.of(headers.getFirst(RelayHeaders.RESULT)).let { it == RelayResult.RESPONSE || it == RelayResult.RESPONSE_REUSED }

        /** Returns whether a worker's response with [headers] may be the copy of an earlier one on the peer's connection. */
        fun mayBeCopy(headers: HeaderMap): Boolean =
            RelayResult.of(headers.getFirst(RelayHeaders.RESULT)) == RelayResult.RESPONSE_REUSED &&
                headers.getFirst(RelayHeaders.REPEAT) != RelayHeaders.REPEAT_NO

        /**
         * Interprets the [result] of the call to the peer, which was about the request [id]. Only the peer's own word counts for the
         * request not having been sent; peers of earlier builds do not repeat the id, which stands in header [idHeader], in such an answer.
         */
        fun of(
            result: CallResult,
            id: String,
            idHeader: String,
        ): RelayedCall =
            when (result) {
                is CallResult.NotSent -> Ended(AttemptResult.RelayFailed("peer: ${result.detail}"))
                is CallResult.Incomplete ->
                    Ended(AttemptResult.Unknown("peer: ${result.detail}", doubt = AnswerDoubt.FRAMING.takeIf { result.isMalformed }))
                is CallResult.Response -> ofResponse(result, id, idHeader)
            }

        private fun ofResponse(
            response: CallResult.Response,
            id: String,
            idHeader: String,
        ): RelayedCall {
            otherIdFlaw(response, id, idHeader)?.let { return Ended(AttemptResult.Unknown("peer: $it", doubt = AnswerDoubt.IDENTITY)) }
            val detail = response.header(RelayHeaders.DETAIL).orEmpty()
            return when (RelayResult.of(response.header(RelayHeaders.RESULT))) {
                RelayResult.RESPONSE -> response.fromWorker(isReused = false)
                RelayResult.RESPONSE_REUSED -> response.fromWorker(isReused = true)
                RelayResult.UNREACHABLE -> Ended(AttemptResult.Unreachable("from peer: $detail"))
                RelayResult.INCOMPLETE -> Ended(AttemptResult.Unknown("from peer: $detail"))
                RelayResult.REFUSED -> Ended(AttemptResult.RelayFailed("refused: $detail"))
                null -> Ended(AttemptResult.Unknown("peer: the answer names no result"))
            }
        }

        private fun CallResult.Response.fromWorker(isReused: Boolean): Response {
            val isFramingChecked = header(RelayHeaders.FRAMING) == RelayHeaders.FRAMING_CHECKED
            val mayBeCopy = isReused && header(RelayHeaders.REPEAT) != RelayHeaders.REPEAT_NO
            RelayHeaders.names.forEach { headers.remove(it) }
            return Response(CallResult.Response(status, headers, body, isReused), isFramingChecked, mayBeCopy)
        }
    }
}
