package io.kumquatmill.limits.ledger

/** Tokens by which a window may exceed its bound because clocks are rounded to milliseconds. */
private const val TOLERANCE = 0.2

/** Describes how the hosts together exceeded any of [specs], given a clock drift of at most [drift]. Empty if they did not. */
internal fun FakeFleet.violations(
    specs: List<LimitSpec>,
    drift: Double = 0.0,
): List<String> =
    specs.flatMap { spec ->
        val units = peakUnits[spec.id] ?: 0
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
    return "${spec.id} exceeded its burst by ${checker.maxExcess}".takeIf { checker.maxExcess > TOLERANCE }
}

private fun FakeFleet.slotViolation(spec: LimitSpec.Slots): String? {
    val peak = peakInFlight[spec.id] ?: 0
    return "$peak slots of ${spec.id} of ${spec.slots} in use".takeIf { peak > spec.slots }
}
