package io.kumquatmill.membership

import io.kumquatmill.membership.fake.FakeFleet
import io.kumquatmill.membership.fake.FakeHost
import io.kumquatmill.membership.fake.FleetOptions
import io.kumquatmill.membership.fake.assertConverged
import io.kumquatmill.membership.fake.stred
import io.kumquatmill.membership.fake.vychod
import io.kumquatmill.membership.fake.zapad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class RandomScheduleTest {
    @Test
    fun `random faults violate no invariant and the fleet recovers from every schedule`() {
        repeat(SEEDS) { seed ->
            val fleet = FakeFleet(seed, options = FleetOptions(clockDrift = 0.04)).start()
            val schedule = RandomSchedule(fleet, Random(seed))
            repeat(FAULTS) {
                schedule.injectNext()
                fleet.run(schedule.pauseMs())
            }
            fleet.faults.heal()
            fleet.hosts.forEach(schedule::recover)
            fleet.run(RECOVERY_MS)
            assertEquals(emptyList(), fleet.invariants.violations.take(3), "seed $seed after ${schedule.injectedFaults}")
            fleet.assertConverged("seed $seed after ${schedule.injectedFaults}:")
        }
    }

    private companion object {
        const val SEEDS = 250
        const val FAULTS = 12
        const val RECOVERY_MS = 45_000L
    }
}

/** Injects one random fault after another; several faults may be active at the same time. */
private class RandomSchedule(
    private val fleet: FakeFleet,
    private val random: Random,
) {
    val injectedFaults = mutableListOf<String>()

    fun pauseMs(): Long = random.nextLong(100, 6_000)

    fun injectNext() {
        val host = fleet.hosts.random(random)
        val fault = random.nextInt(12)
        injectedFaults += "${fleet.nowMs}: $fault ${host.id}"
        when (fault) {
            0 -> host.kill()
            1 -> host.freeze()
            2, 3 -> recover(host)
            4 -> fleet.faults.isStoreDown = !fleet.faults.isStoreDown
            5 -> toggle(fleet.faults.partitionedRegions, listOf(zapad, stred, vychod).random(random))
            6 -> toggle(fleet.faults.hostsWithoutStore, host.id)
            7 -> fleet.faults.messageLossRate = random.nextDouble(0.5)
            8 -> fleet.faults.storeReplyLossRate = random.nextDouble(0.5)
            9 -> fleet.faults.storeDelayMs = random.nextLong(5_000)
            10 -> fleet.faults.messageDuplicationRate = random.nextDouble(0.5)
            else -> fleet.acceptConfiguration()
        }
    }

    /** Unfreezes [host] if it is frozen and starts it if it is not running. */
    fun recover(host: FakeHost) {
        if (host.isFrozen) host.unfreeze()
        if (!host.isRunning) host.start()
    }

    private fun <T> toggle(
        set: MutableSet<T>,
        value: T,
    ) {
        if (!set.remove(value)) set += value
    }
}
