package io.kumquatmill.limits.ledger

/** Tokens by which rounding of clocks to milliseconds may pass the bound of a window. */
private const val TOLERANCE = 0.2

/** Returns how the hosts together passed any of [specs], with clocks that run wrong by [drift] at most. */
internal fun FakeFleet.violations(
    specs: List<LimitSpec>,
    drift: Double = 0.0,
): List<String> =
    specs.flatMap { spec ->
        val units = worstUnits[spec.id] ?: 0
        listOfNotNull(
            "$units units of ${spec.id} of ${spec.totalUnits} usable at once".takeIf { units > spec.totalUnits },
            when (spec) {
                is LimitSpec.Rate -> rateViolation(spec, drift)
                is LimitSpec.Slots -> slotViolation(spec)
            },
        )
    }

private fun FakeFleet.rateViolation(
    spec: LimitSpec.Rate,
    drift: Double,
): String? {
    val checker = WindowChecker(spec.ratePerS * (1 + drift), spec.burst)
    takes[spec.id].orEmpty().forEach { (atMs, amount) -> checker.take(atMs, amount) }
    return "${spec.id} passed its burst by ${checker.worstExcess}".takeIf { checker.worstExcess > TOLERANCE }
}

private fun FakeFleet.slotViolation(spec: LimitSpec.Slots): String? {
    val worst = worstInFlight[spec.id] ?: 0
    return "$worst slots of ${spec.id} of ${spec.slots} in use".takeIf { worst > spec.slots }
}
