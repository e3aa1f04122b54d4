package io.kumquatmill.traffic.reach

/** Numbers and times by which a host decides that it is cut off from all workers. */
data class ReachSettings(
    /** Workers that a host must have failed to connect to, with no connection in between, before it considers itself cut off. */
    val failedWorkers: Int = 4,
    /** Workers that are probed at once while connections fail: one for each upstream and availability zone of which none has failed yet. */
    val probes: Int = 6,
    /** Workers that are probed at once while the host is cut off. */
    val probesWhileCutOff: Int = 3,
    /** Workers that must accept a connection before a cut counts as over. */
    val reachedWorkers: Int = 2,
    /** Time between two rounds of probes; a probe ends before. */
    val probeIntervalMs: Long = 500,
    /**
     * A peer must have reached a worker this long after connections began to fail to show that the workers are there. Responses to requests
     * that were in progress may still arrive before.
     */
    val evidenceDelayMs: Long = 500,
    /** Longest time from the start of an attempt to open a connection until it counts as failed. */
    val connectTimeoutMs: Long = 400,
    /** Time within which a peer must have reached a worker to be sent requests that it passes on. */
    val peerReachMaxAgeMs: Long = 5_000,
    /** Requests that a host passes on for its peers at the same time. */
    val maxRelays: Int = 256,
    /** Time for which a peer is not asked to pass requests on after it has failed to. */
    val relayPauseMs: Long = 1_000,
)
