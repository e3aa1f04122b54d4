package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.History

/** A promise that must hold in every history, whatever fails; [check] returns each breach of it. */
data class Invariant(
    val name: String,
    val check: (History) -> List<Violation>,
)

/** A breach of the invariant [invariant] at [atMs] of the scenario's time. */
data class Violation(
    val invariant: String,
    val atMs: Long,
    val detail: String,
) {
    override fun toString(): String = "$invariant at $atMs ms: $detail"
}

/** All invariants, with the bounds that [bounds] states. */
fun allInvariants(bounds: InvariantBounds = InvariantBounds()): List<Invariant> =
    listOf(
        rateWithinPlan(bounds),
        atMostOnce(),
        trueRefusals(),
        ownAnswers(),
        workerSlots(),
        ownWorkspace(bounds),
        withdrawnKeys(bounds),
        configurationInForce(bounds),
        leavingWorkers(bounds),
        plannedStops(),
        linkCapacity(bounds),
        shiftCap(),
    )

/** Returns all breaches of [invariants] in [history]. */
fun History.violations(invariants: List<Invariant>): List<Violation> = invariants.flatMap { it.check(this) }

/** Times and tolerances that the promises of the product allow. */
data class InvariantBounds(
    /** Time in which an accepted configuration is in force everywhere. */
    val inForceMs: Long = 8_000,
    /** Time after which a withdrawn key is refused everywhere. */
    val withdrawnKeyMs: Long = 8_000,
    /** Time after which a leaving worker gets no new work. */
    val leavingWorkerMs: Long = 5_000,
    /** Longest window that is looked at for the use of a link. */
    val linkWindowMs: Long = 1_000,
)
