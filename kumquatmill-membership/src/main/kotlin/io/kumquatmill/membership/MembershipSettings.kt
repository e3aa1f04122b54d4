package io.kumquatmill.membership

import io.kumquatmill.common.dsl.KumquatmillDsl
import io.kumquatmill.common.id.HostId
import io.kumquatmill.common.id.RegionId
import kotlin.math.ceil
import kotlin.math.sqrt

/**
 * Timeouts, intervals and limits of the membership protocol; all hosts of a fleet must use the same values.
 *
 * @property storeRegion region in which the key-value store runs.
 * @property seedHosts hosts to poll while the store does not respond and this host has no roster yet.
 * @property isolationPolicy what to do with routes that need a key while the configuration may be stale.
 * @property renewIntervalMs minimum time between two renewals, see [renewPeriodMs].
 * @property standingMs time for which a confirmation by the store or the witnesses gives a host standing.
 * @property clockDriftMarginMs time added to [standingMs] before a roster change is settled, for clock drift between hosts.
 * @property freshnessMs maximum age of a confirmation that the configuration is current.
 * @property minLeaseTtlMs minimum time to live of a host's lease, see [leaseTtlMs].
 * @property maxStoreRenewalsPerS maximum rate of renewals that the whole fleet sends to the store.
 * @property storeCallTimeoutMs timeout of a store call, in addition to the time that a watch may wait.
 * @property minReconnectDelayMs maximum delay before the first retry of a failed store call.
 * @property maxReconnectDelayMs upper bound of the delay before a retry of a failed store call.
 * @property maxWitnessCount maximum number of witnesses of an epoch; an even number is rounded down to an odd one.
 * @property gossipFanOut number of random peers to poll in each round.
 * @property relayFanOut number of relays that a host polls in each round while the store does not respond.
 * @property minRelayCount minimum number of relays, see [relayCount].
 * @property proposerRankDelayMs delay added for each rank in the proposer order; also the delay after a failed roster call.
 * @property rosterChangeDelayMs time for which a roster change must be needed before the first-ranked host proposes it.
 * @property evictionDelayMs time for which a record must be absent before its lease counts as expired.
 * @property peerAliveTimeoutMs time since the last message of a host within which it counts as alive and is not evicted.
 * @property suspectReplyTimeoutMs time that suspected hosts have to reply before their eviction is proposed.
 * @property minRecoveryGraceMs minimum grace period after a store outage or a partition, see [recoveryGraceMs].
 * @property witnessTimeoutMs maximum age of a vote that shows that a witness is reachable, and time without a majority of such
 *   votes after which a proposer restarts the grace period.
 * @property takeoverDelayMs delay before a host settles a change that another host proposed, in addition to the rank delay.
 * @property noticeIntervalMs time between two notices to a witness that has not acknowledged a change.
 * @property hostListLagMs maximum delay until the platform's host list shows a new host.
 * @property departTimeoutMs time that a drained host waits for the removal of its record before it may exit anyway.
 */
data class MembershipSettings(
    val storeRegion: RegionId,
    val seedHosts: Set<HostId> = emptySet(),
    val isolationPolicy: IsolationPolicy = IsolationPolicy.REFUSE,
    val renewIntervalMs: Long = 1_000,
    val standingMs: Long = 4_000,
    val clockDriftMarginMs: Long = 500,
    val freshnessMs: Long = 6_000,
    val minLeaseTtlMs: Long = 4_500,
    val maxStoreRenewalsPerS: Int = 200,
    val storeCallTimeoutMs: Long = 3_000,
    val minReconnectDelayMs: Long = 250,
    val maxReconnectDelayMs: Long = 4_000,
    val maxWitnessCount: Int = 5,
    val gossipFanOut: Int = 2,
    val relayFanOut: Int = 3,
    val minRelayCount: Int = 20,
    val proposerRankDelayMs: Long = 300,
    val rosterChangeDelayMs: Long = 300,
    val evictionDelayMs: Long = 500,
    val peerAliveTimeoutMs: Long = 2_500,
    val suspectReplyTimeoutMs: Long = 200,
    val minRecoveryGraceMs: Long = 10_000,
    val witnessTimeoutMs: Long = 2_500,
    val takeoverDelayMs: Long = 2_000,
    val noticeIntervalMs: Long = 500,
    val hostListLagMs: Long = 10_000,
    val departTimeoutMs: Long = 5_000,
) {
    /** Time between two renewals by one host of a fleet of [fleetSize]; keeps the fleet within [maxStoreRenewalsPerS]. */
    fun renewPeriodMs(fleetSize: Int): Long = maxOf(renewIntervalMs, fleetSize * MS_PER_S / maxStoreRenewalsPerS)

    /** Time that a watch may wait in a fleet of [fleetSize]; its reply must keep the host's standing valid until the next reply. */
    fun watchWaitMs(fleetSize: Int): Long {
        val periodMs = renewPeriodMs(fleetSize)
        return minOf(periodMs, standingMs * WATCH_AGE_NUMERATOR / WATCH_AGE_DENOMINATOR - periodMs).coerceAtLeast(0)
    }

    /** Time to live of the lease of one host in a fleet of [fleetSize]. */
    fun leaseTtlMs(fleetSize: Int): Long = maxOf(minLeaseTtlMs, renewPeriodMs(fleetSize) * RENEWALS_PER_TTL)

    /** Maximum random delay of the writes that every host of a fleet of [fleetSize] makes after a store outage. */
    fun writeJitterMs(fleetSize: Int): Long = fleetSize * WRITES_PER_RECOVERY * MS_PER_S / maxStoreRenewalsPerS

    /** Grace period in which the hosts of a fleet of [fleetSize] can renew their records after a store outage or a partition. */
    fun recoveryGraceMs(fleetSize: Int): Long = minRecoveryGraceMs + writeJitterMs(fleetSize)

    /** Time between two polls of the witnesses or relays by one host of a fleet of [fleetSize]. */
    fun witnessPollPeriodMs(fleetSize: Int): Long = minOf(renewPeriodMs(fleetSize), standingMs * POLL_AGE_NUMERATOR / POLL_AGE_DENOMINATOR)

    /**
     * Number of relays in a fleet of [fleetSize]: the hosts that poll the witnesses directly while the store does not respond.
     *
     * All other hosts poll some of the relays, so that neither a witness nor a relay has to reply to the whole fleet.
     */
    fun relayCount(fleetSize: Int): Int = maxOf(minRelayCount, ceil(sqrt(fleetSize * relayFanOut.toDouble())).toInt())

    /** Time between the confirmation of a roster change and its settling, so that all standing under the previous epoch has expired. */
    val settleWaitMs: Long
        get() = standingMs + clockDriftMarginMs

    private companion object {
        const val MS_PER_S = 1_000L

        /** A watch and the renewal period take at most 3/4 of [standingMs] together, which leaves a quarter for delays. */
        const val WATCH_AGE_NUMERATOR = 3
        const val WATCH_AGE_DENOMINATOR = 4

        /** Number of renewals within the time to live of a lease, so that a lost one does not let it expire. */
        const val RENEWALS_PER_TTL = 3

        /** Number of writes by each host after a store outage: one for its lease and one for its record. */
        const val WRITES_PER_RECOVERY = 2

        /** Witnesses are polled at least every 3/8 of [standingMs], so that standing outlasts one lost round. */
        const val POLL_AGE_NUMERATOR = 3
        const val POLL_AGE_DENOMINATOR = 8
    }
}

/** Builds [MembershipSettings], starting from their defaults. */
@KumquatmillDsl
class MembershipSettingsBuilder internal constructor(
    storeRegion: RegionId,
) {
    private var settings = MembershipSettings(storeRegion)

    /** Replaces the settings by the result of [change]. */
    fun with(change: MembershipSettings.() -> MembershipSettings) {
        settings = settings.change()
    }

    internal fun build(): MembershipSettings = settings
}

/** Returns the default settings of a fleet whose store is in [storeRegion], modified by [block]. */
fun membershipSettings(
    storeRegion: RegionId,
    block: MembershipSettingsBuilder.() -> Unit = {},
): MembershipSettings = MembershipSettingsBuilder(storeRegion).apply(block).build()
