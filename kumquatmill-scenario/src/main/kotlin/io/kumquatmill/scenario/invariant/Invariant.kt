package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.History

/** A promise that must hold in every history, whatever fails; [check] returns each breach of it. */
data class Invariant(
    val name: String,
    val check: (History) -> List<Violation>,
)

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
