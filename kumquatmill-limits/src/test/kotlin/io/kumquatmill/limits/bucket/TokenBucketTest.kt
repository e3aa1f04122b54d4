package io.kumquatmill.limits.bucket

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class TokenBucketTest {
    private fun bucket(level: Double = 0.0) = TokenBucket(ratePerS = 10.0, capacity = 5.0, nowMs = 0, level = level)

    @Test
    fun `a new bucket is empty and refills up to its capacity`() {
        val bucket = bucket()
        assertFalse(bucket.tryTake(0, 1.0), "take from an empty bucket")
        bucket.refill(300)
        assertEquals(3.0, bucket.level, 1e-9)
        bucket.refill(60_000)
        assertEquals(5.0, bucket.level, 1e-9)
    }

    @Test
    fun `a time before the latest refill adds no tokens`() {
        val bucket = bucket()
        bucket.refill(300)
        bucket.refill(100)
        bucket.refill(300)
        assertEquals(3.0, bucket.level, 1e-9)
    }

    @Test
    fun `a rescale caps the level and never raises it`() {
        val bucket = bucket(level = 4.0)
        bucket.rescale(0, ratePerS = 1.0, capacity = 2.0)
        assertEquals(2.0, bucket.level, 1e-9)
        bucket.rescale(0, ratePerS = 10.0, capacity = 50.0)
        assertEquals(2.0, bucket.level, 1e-9)
    }

    @Test
    fun `skipped time adds no tokens`() {
        val bucket = bucket()
        bucket.skipTo(10_000)
        bucket.refill(10_100)
        assertEquals(1.0, bucket.level, 1e-9)
    }

    @Test
    fun `a debt must be repaid before tokens can be taken again`() {
        val bucket = bucket(level = 1.0)
        bucket.charge(0, 3.0)
        assertEquals(-2.0, bucket.level, 1e-9)
        assertEquals(300, bucket.timeUntilAvailableMs(0, 1.0))
        assertFalse(bucket.tryTake(299, 1.0), "take before the debt is repaid")
        assertTrue(bucket.tryTake(300, 1.0), "take after the debt is repaid")
    }

    @Test
    fun `a withdrawal removes tokens and never more than are available`() {
        val bucket = bucket(level = 2.0)
        assertEquals(1.5, bucket.withdraw(0, 1.5), 1e-9)
        assertEquals(0.5, bucket.withdraw(0, 1.5), 1e-9)
        assertEquals(0.0, bucket.withdraw(0, 1.5), 1e-9)
    }

    @Test
    fun `more tokens than the capacity never become available`() {
        assertEquals(null, bucket().timeUntilAvailableMs(0, 6.0))
    }
}
