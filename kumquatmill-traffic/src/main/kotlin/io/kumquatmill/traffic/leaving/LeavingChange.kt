package io.kumquatmill.traffic.leaving

import io.kumquatmill.traffic.model.WorkerEntry

/**
 * A change of what this host knows about a worker that leaves.
 *
 * @property worker entry of the worker, or null if a peer told of one without an entry here
 * @property source name of the host to which the worker said it
 * @property ageMs time in milliseconds since it said so
 */
data class LeavingChange(
    val kind: Kind,
    val worker: WorkerEntry?,
    val source: String,
    val ageMs: Long,
) {
    /** What changed; [wireName] is its name in logs and metrics. */
    enum class Kind(
        val wireName: String,
    ) {
        /** The worker said so in an answer to this host, which sends it nothing more. */
        SAID("said"),

        /** A peer reported it: this host prefers other workers for a while. */
        TOLD("told"),

        /** The worker answered this host later without saying so: the peer's report was wrong. */
        DISPROVED("disproved"),

        /** The time for which a peer's report counts is over. */
        LAPSED("lapsed"),
    }
}
