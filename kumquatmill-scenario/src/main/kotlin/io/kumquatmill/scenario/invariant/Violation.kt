package io.kumquatmill.scenario.invariant

/** A violation of [invariant]; [atMs] is the time since the start of the simulation. */
data class Violation(
    val invariant: String,
    val atMs: Long,
    val detail: String,
) {
    override fun toString(): String = "$invariant at $atMs ms: $detail"
}
