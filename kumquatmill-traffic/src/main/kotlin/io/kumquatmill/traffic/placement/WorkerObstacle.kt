package io.kumquatmill.traffic.placement

/**
 * Why a worker does not get a request.
 *
 * @property wireName name of the reason in explanations
 */
enum class WorkerObstacle(
    val wireName: String,
) {
    /** The worker's entry or one of its responses says that it leaves. */
    DRAINING("draining"),

    /** The worker's zone is evacuated. */
    EVACUATED("evacuated"),

    /** The worker is outside the regions in which the request may be executed. */
    HOME_REGION("home-region"),

    /** The worker wants no requests from this host for a while. */
    PAUSED("paused"),

    /** The worker's address may belong to another worker. */
    MISDIRECTED("misdirected"),

    /** The worker is ejected after failures, or runs the single request that shows whether it has recovered. */
    FAILING("failing"),

    /** This host has no connection to the worker left. */
    CONNECTIONS_FULL("connections-full"),

    /** This host already has as many requests at the worker as its slots allow. */
    SLOTS_FULL("slots-full"),

    /** The worker is cold and this host's part of its rate is used up. */
    COLD("cold"),

    /** The worker has named a rate limit and this host's part of it is used up. */
    RATE_LIMITED("rate-limited"),

    /** A peer has reported that the worker leaves, and another one can be used. */
    REPORTED_LEAVING("reported-leaving"),

    /** Enough workers that can be used precede it in the order of the request's key. */
    NOT_PREFERRED("not-preferred"),

    /** The worker is too busy for a request whose object it does not have cached. */
    KEY_NOT_CACHED("key-not-cached"),

    /** The expected wait is longer than the request may wait there. */
    WAIT_TOO_LONG("wait-too-long"),
}
