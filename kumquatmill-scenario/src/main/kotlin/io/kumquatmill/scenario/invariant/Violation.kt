package io.kumquatmill.scenario.invariant

/** A breach of the invariant [invariant] at [atMs] of the scenario's time. */
data class Violation(
    val invariant: String,
    val atMs: Long,
    val detail: String,
) {
    override fun toString(): String = "$invariant at $atMs ms: $detail"
}
