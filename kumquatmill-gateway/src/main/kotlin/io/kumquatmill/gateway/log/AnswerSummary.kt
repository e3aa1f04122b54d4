package io.kumquatmill.gateway.log

import io.kumquatmill.gateway.caller.HttpHeaderNames
import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.gateway.http.ConnectionUse

/**
 * What a worker's answer looked like when it was interpreted, for the logs.
 *
 * @property echoedIds ids of requests that the answer names, in the order of its headers
 * @property saysNotRun whether it states that the request has not run
 * @property hasProof whether it bears the proof of a worker
 * @property isConnectionReused whether its connection had carried other answers before
 * @property use which connection carried it, or null if another host received it
 */
data class AnswerSummary(
    val status: Int,
    val echoedIds: List<String>,
    val saysNotRun: Boolean,
    val hasProof: Boolean,
    val isConnectionReused: Boolean,
    val use: ConnectionUse?,
) {
    companion object {
        /** Summarizes [response], whose headers are called [names]. */
        fun of(
            response: CallResult.Response,
            names: HttpHeaderNames,
        ) = AnswerSummary(
            response.status,
            response.headers
                .get(names.requestId)
                .orEmpty()
                .toList(),
            saysNotRun = response.header(names.notExecuted) != null,
            hasProof = response.header(names.workerProof) != null,
            response.isConnectionReused,
            response.use,
        )
    }
}
