package io.kumquatmill.limits.ledger

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.id.RegionId

/** What a limit allows over all hosts together; it is split into [totalUnits] units that move between hosts. */
sealed interface LimitSpec {
    val id: LimitId
    val totalUnits: Long

    /** At most [ratePerS] x seconds + [burst] tokens in any window of time. */
    data class Rate(
        override val id: LimitId,
        val ratePerS: Double,
        val burst: Double,
    ) : LimitSpec {
        override val totalUnits: Long
            get() = UNITS
    }

    /**
     * At most [slots] tokens in use at any moment.
     *
     * With [homeRegion], only hosts of that region are homes while there are any: give it for what lies in one region.
     */
    data class Slots(
        override val id: LimitId,
        val slots: Int,
        val homeRegion: RegionId? = null,
    ) : LimitSpec {
        override val totalUnits: Long
            get() = slots.toLong()
    }

    companion object {
        /** Units of a rate. */
        const val UNITS: Long = 1_000_000
    }
}

/** Builds a list of limits. */
fun limits(block: LimitsBuilder.() -> Unit): List<LimitSpec> = LimitsBuilder().apply(block).build()

/** Builder for a list of limits, see [limits]. */
@KumquatmillDsl
class LimitsBuilder {
    private val specs = mutableListOf<LimitSpec>()

    /** Adds a limit of [ratePerS] tokens a second with [burst] at once. */
    fun rate(
        id: String,
        ratePerS: Double,
        burst: Double,
    ) {
        specs += LimitSpec.Rate(LimitId(id), ratePerS, burst)
    }

    /** Adds a limit of [slots] tokens at a time. */
    fun slots(
        id: String,
        slots: Int,
        homeRegion: RegionId? = null,
    ) {
        specs += LimitSpec.Slots(LimitId(id), slots, homeRegion)
    }

    internal fun build(): List<LimitSpec> = specs.toList()
}
