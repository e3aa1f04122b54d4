package io.kumquatmill.standins.platform

import io.kumquatmill.common.time.MonotonicClock
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private const val EXPIRY_INTERVAL_MS = 20L

/** Expires leases periodically, so that they end on time even while the store receives no calls. */
internal class LeaseExpiryTimer(
    private val state: PlatformState,
    private val clock: MonotonicClock,
) : AutoCloseable {
    private val executor =
        Executors.newSingleThreadScheduledExecutor { task ->
            Thread(task, "lease-expiry").apply { isDaemon = true }
        }

    init {
        executor.scheduleAtFixedRate(::expire, EXPIRY_INTERVAL_MS, EXPIRY_INTERVAL_MS, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    private fun expire() {
        state.withStore { it.expireLeases(clock.nowMs()) }
    }
}
