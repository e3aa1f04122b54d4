package io.kumquatmill.traffic.crash

import java.time.Duration

/** When a request is quarantined because workers end when they run it. */
data class CrashSettings(
    /** Number of worker processes that must have ended under a request, without a response to it in between. */
    val crashesToQuarantine: Int = 3,
    /** Ends within this time of each other count as one: an availability zone that loses power ends many workers at the same moment. */
    val crashSpacingMs: Long = 150,
    /** How long a crash counts. */
    val countedMs: Long = Duration.ofDays(1).toMillis(),
    /** How long after a request was lost a sign can still show that its worker's process has ended. */
    val signWithinMs: Long = 10_000,
    /** Time between two probes of a worker, and between a probe without a result and the next one. */
    val probeIntervalMs: Long = 500,
    /** Probes of a worker without a result, after which it is not probed for the same loss any more. */
    val maxProbes: Int = 4,
    /** Requests that are remembered; quarantined ones are forgotten last. */
    val maxRecords: Int = 2_048,
    /** Lost requests of a worker that wait for a sign. */
    val maxLostPerWorker: Int = 64,
    /** Crashes and completions in a report, each, so that it fits into a datagram; more are told in turn. */
    val maxReported: Int = 64,
    /** How long each report has a crash that this host has seen itself. */
    val freshMs: Long = 5_000,
    /** How long peers are told of a response that clears a request. */
    val completionReportedMs: Long = 60_000,
)
