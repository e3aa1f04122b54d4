package io.kumquatmill.membership

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import kotlin.math.ceil
import kotlin.math.sqrt

/** Times and bounds of the membership of entry hosts; all hosts of a fleet need the same. */
data class MembershipSettings(
    val storeRegion: RegionId,
    val seedHosts: Set<HostId> = emptySet(),
    val isolationPolicy: IsolationPolicy = IsolationPolicy.REFUSE,
    val renewIntervalMs: Long = 1_000,
    val standingMs: Long = 4_000,
    val driftMarginMs: Long = 500,
    val freshnessMs: Long = 6_000,
    val storeLeaseTtlMs: Long = 4_500,
    val maxStoreRenewalsPerS: Int = 200,
    val storeCallTimeoutMs: Long = 3_000,
    val minReconnectDelayMs: Long = 250,
    val maxReconnectDelayMs: Long = 4_000,
    val witnessCount: Int = 5,
    val gossipFanOut: Int = 2,
    val relayFanOut: Int = 3,
    val minRelayCount: Int = 20,
    val rankDelayMs: Long = 300,
    val changeDelayMs: Long = 300,
    val evictionDelayMs: Long = 500,
    val aliveMs: Long = 2_500,
    val suspectAnswerMs: Long = 200,
    val minReturnGraceMs: Long = 10_000,
    val witnessTimeoutMs: Long = 2_500,
    val finishDelayMs: Long = 2_000,
    val notifyIntervalMs: Long = 500,
    val hostListLagMs: Long = 10_000,
    val departTimeoutMs: Long = 5_000,
) {
    /** Time between two renewals of one host in a fleet of [fleetSize], so that the store can bear all of them. */
    fun renewPeriodMs(fleetSize: Int): Long = maxOf(renewIntervalMs, fleetSize * MS_PER_S / maxStoreRenewalsPerS)

    /** Time that a watch may wait in a fleet of [fleetSize], so that its answer still gives standing until the next one. */
    fun watchWaitMs(fleetSize: Int): Long {
        val periodMs = renewPeriodMs(fleetSize)
        return minOf(periodMs, standingMs * WATCH_AGE_NUMERATOR / WATCH_AGE_DENOMINATOR - periodMs).coerceAtLeast(0)
    }

    /** Time to live of the lease of one host in a fleet of [fleetSize]. */
    fun leaseTtlMs(fleetSize: Int): Long = maxOf(storeLeaseTtlMs, renewPeriodMs(fleetSize) * RENEWALS_PER_TTL)

    /** Time over which the hosts of a fleet of [fleetSize] spread the writes that all have to make after an outage. */
    fun writeSpreadMs(fleetSize: Int): Long = fleetSize * WRITES_PER_RETURN * MS_PER_S / maxStoreRenewalsPerS

    /** Time after an outage or a cut in which the hosts of a fleet of [fleetSize] can renew their records. */
    fun returnGraceMs(fleetSize: Int): Long = minReturnGraceMs + writeSpreadMs(fleetSize)

    /** Time between two questions to the witnesses or relays of a fleet of [fleetSize]. */
    fun askPeriodMs(fleetSize: Int): Long = minOf(renewPeriodMs(fleetSize), standingMs * ASK_AGE_NUMERATOR / ASK_AGE_DENOMINATOR)

    /**
     * Number of hosts of a fleet of [fleetSize] that ask the witnesses themselves while the store is silent.
     *
     * The others ask some of them, so that neither witnesses nor relays have to answer the whole fleet.
     */
    fun relayCount(fleetSize: Int): Int = maxOf(minRelayCount, ceil(sqrt(fleetSize * relayFanOut.toDouble())).toInt())

    /** Time for which a change of the roster waits before it is settled, so that standing under the epoch before has ended. */
    val settleWaitMs: Long
        get() = standingMs + driftMarginMs

    private companion object {
        const val MS_PER_S = 1_000L
        const val WATCH_AGE_NUMERATOR = 3
        const val WATCH_AGE_DENOMINATOR = 4
        const val RENEWALS_PER_TTL = 3
        const val WRITES_PER_RETURN = 2
        const val ASK_AGE_NUMERATOR = 3
        const val ASK_AGE_DENOMINATOR = 8
    }
}

/** Builds [MembershipSettings] from their defaults. */
@KumquatmillDsl
class MembershipSettingsBuilder internal constructor(
    storeRegion: RegionId,
) {
    private var settings = MembershipSettings(storeRegion)

    /** Replaces some of the settings. */
    fun with(change: MembershipSettings.() -> MembershipSettings) {
        settings = settings.change()
    }

    internal fun build(): MembershipSettings = settings
}

/** Returns the settings of a fleet whose store is in [storeRegion], changed by [block]. */
fun membershipSettings(
    storeRegion: RegionId,
    block: MembershipSettingsBuilder.() -> Unit = {},
): MembershipSettings = MembershipSettingsBuilder(storeRegion).apply(block).build()
