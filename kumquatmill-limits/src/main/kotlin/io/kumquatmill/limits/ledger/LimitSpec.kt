package io.kumquatmill.limits.ledger

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.id.RegionId

/** Definition of a limit that applies to all hosts together. Hosts exchange it in [totalUnits] equal units. */
sealed interface LimitSpec {
    val id: LimitId
    val totalUnits: Long

    /** Allows at most [ratePerS] x seconds + [burst] tokens in any time window. */
    data class Rate(
        override val id: LimitId,
        val ratePerS: Double,
        val burst: Double,
    ) : LimitSpec {
        override val totalUnits: Long
            get() = RATE_UNITS
    }

    /**
     * Allows at most [slots] tokens in use at a time; one slot is one unit.
     *
     * If [homeRegion] is set, only hosts of that region are home hosts, as long as it has any. Set it for a resource that is
     * located in one region. Null allows hosts of every region.
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
        /** Number of units into which every rate is divided. */
        const val RATE_UNITS: Long = 1_000_000
    }
}

/** Builds a list of limits. */
fun limits(block: LimitsBuilder.() -> Unit): List<LimitSpec> = LimitsBuilder().apply(block).build()

/** Builder for the list of limits that [limits] returns. */
@KumquatmillDsl
class LimitsBuilder {
    private val specs = mutableListOf<LimitSpec>()

    /** Adds a limit of [ratePerS] tokens per second with bursts of up to [burst] tokens. */
    fun rate(
        id: String,
        ratePerS: Double,
        burst: Double,
    ) {
        specs += LimitSpec.Rate(LimitId(id), ratePerS, burst)
    }

    /** Adds a limit of [slots] tokens in use at a time, see [LimitSpec.Slots]. */
    fun slots(
        id: String,
        slots: Int,
        homeRegion: RegionId? = null,
    ) {
        specs += LimitSpec.Slots(LimitId(id), slots, homeRegion)
    }

    internal fun build(): List<LimitSpec> = specs.toList()
}
