package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.History

/** A property that must hold in every history, whatever fails; [check] returns all violations of it. */
data class Invariant(
    val name: String,
    val check: (History) -> List<Violation>,
)

/** Returns all invariants, with the bounds in [bounds]. */
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

/** Returns all violations of [invariants] in this history. */
fun History.violations(invariants: List<Invariant>): List<Violation> = invariants.flatMap { it.check(this) }
