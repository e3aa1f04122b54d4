package io.kumquatmill.common.time

import kotlin.time.Duration.Companion.nanoseconds

/**
 * Source of monotonic time for leases, buckets and deadlines.
 *
 * Readings never go backwards and are only comparable with readings of the same clock.
 */
fun interface MonotonicClock {
    /** Returns the time since an arbitrary fixed origin, in milliseconds. */
    fun nowMs(): Long

    companion object {
        /** Clock of the Java virtual machine. */
        val system: MonotonicClock = MonotonicClock { System.nanoTime().nanoseconds.inWholeMilliseconds }
    }
}
