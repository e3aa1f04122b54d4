package io.kumquatmill.traffic.admission

/** When [CapacityAdmission] decides by cost instead of by each route's own target latency. */
enum class AdmissionMode {
    /** By cost if the desired state has a bulk route, otherwise by target. */
    AUTO,

    /** Always by cost. */
    BY_COST,

    /** Never by cost. */
    BY_TARGET,
}

/** Settings of [CapacityAdmission]. */
data class AdmissionSettings(
    /** By target unless an operator chooses otherwise: docs/design/admission.md has what both cost callers. */
    val mode: AdmissionMode = AdmissionMode.BY_TARGET,
    /**
     * Fraction of the time between the expected service time and the target latency that a request may wait, by rank of its route's
     * priority (highest priority first). The same as in placement by target.
     */
    val maxWaitFractions: List<Double> = DEFAULT_MAX_WAIT_FRACTIONS,
    /** Reduction of the wait limit of a request if all other demand is more urgent; it is proportional to the more urgent part. */
    val urgentDemandWeight: Double = 0.3,
    /** Fraction of a rank's demand, in work, below which it may wait as long as the more urgent routes tolerate. */
    val guaranteedFraction: Double = 0.25,
    /** Fraction of an upstream's demand, in work, that a route must have before others are held back for it. */
    val minRouteFraction: Double = 0.01,
    /** Time constant in milliseconds of the counts of demand and admitted work. */
    val smoothingMs: Double = 5_000.0,
    /** Fraction of the mean wait at the workers of a zone that is assumed for a worker whose own load is not known. */
    val zoneWaitWeight: Double = 0.85,
) {
    private companion object {
        val DEFAULT_MAX_WAIT_FRACTIONS = listOf(0.9, 0.7, 0.5)
    }
}
