package io.kumquatmill.traffic.crash

/**
 * What shows that the process of a worker has ended after the connection of a request to it was lost. The loss alone does not: answers
 * get lost, and links are cut.
 *
 * @property wireName name of the sign in logs and metrics
 */
enum class WorkerEndSign(
    val wireName: String,
) {
    /** The worker's address refused a connection. */
    REFUSED("refused"),

    /** The worker's entry says that it has started again. */
    RESTARTED("restarted"),
}
