package io.kumquatmill.common.time

import kotlin.time.Duration.Companion.nanoseconds

/**
 * Source of monotonic time for leases, token buckets and deadlines.
 *
 * Readings never decrease and can only be compared with readings of the same clock.
 */
fun interface MonotonicClock {
    /** Returns the time since an arbitrary fixed origin, in milliseconds. */
    fun nowMs(): Long

    companion object {
        /** Monotonic clock of the JVM. */
        val system: MonotonicClock = MonotonicClock { System.nanoTime().nanoseconds.inWholeMilliseconds }
    }
}
