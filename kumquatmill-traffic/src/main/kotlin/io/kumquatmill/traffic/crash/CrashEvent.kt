package io.kumquatmill.traffic.crash

import io.kumquatmill.common.id.WorkerId

/** A change of what a host knows about a request under which workers have ended. */
sealed interface CrashEvent {
    val fingerprint: RequestFingerprint

    /**
     * The process of [worker] ended while it ran the request.
     *
     * @property sign what shows that it ended
     * @property crashes number of crashes that are known of the request
     * @property ageMs time in milliseconds since this host lost its connection to the worker
     */
    data class WorkerEnded(
        override val fingerprint: RequestFingerprint,
        val worker: WorkerId,
        val sign: WorkerEndSign,
        val crashes: Int,
        val ageMs: Long,
    ) : CrashEvent

    /**
     * The request is not sent to workers any more, or it is again.
     *
     * @property isQuarantined whether it is kept away from workers now
     * @property source name of the host whose news changed it
     * @property crashes number of crashes that are known of the request
     * @property ageMs time in milliseconds since the last crash, or since the response that cleared the request
     */
    data class QuarantineChanged(
        override val fingerprint: RequestFingerprint,
        val isQuarantined: Boolean,
        val source: String,
        val crashes: Int,
        val ageMs: Long,
    ) : CrashEvent
}
