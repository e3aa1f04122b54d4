package io.kumquatmill.traffic.admission

/**
 * Decision of [CapacityAdmission] on one request at one worker.
 *
 * @property wireName name in logs and metrics
 * @property isServed whether the request is sent to the worker
 */
enum class AdmissionDecision(
    val wireName: String,
    val isServed: Boolean,
) {
    /** The response is expected within the target latency. */
    ON_TIME("on-time", true),

    /** The response is expected after the target latency and before the deadline, without making other requests late. */
    LATE("late", true),

    /** The response is expected after the deadline. */
    PAST_DEADLINE("past-deadline", false),

    /** The wait is longer than the route's target latency allows. */
    WAIT_TOO_LONG("wait-too-long", false),

    /** The wait is longer than more urgent requests tolerate. */
    YIELDS_TO_URGENT("yields-to-urgent", false),

    /** The response would be late, and the request would make requests late that can be on time. */
    LATE_DELAYS_OTHERS("late-delays-others", false),
}
