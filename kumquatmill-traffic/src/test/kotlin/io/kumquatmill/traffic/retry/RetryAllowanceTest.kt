package io.kumquatmill.traffic.retry

import io.kumquatmill.traffic.catalogue
import kotlin.test.Test
import kotlin.test.assertTrue

class RetryAllowanceTest {
    @Test
    fun `hosts whose workers all fail stay within the shared budget`() {
        val hosts = List(7) { RetryAllowance(ratio = 0.2, reserve = 60.0, windowMs = 10_000) }
        var requests = 0
        var repeats = 0
        for (nowMs in 0L until 10_000L step 10) {
            hosts.forEach { host ->
                host.onFirst(nowMs, catalogue, hosts = 7)
                requests++
                if (host.takeRetry(nowMs, catalogue, hosts = 7)) repeats++
            }
        }
        val bound = 0.2 * requests + 60
        assertTrue(repeats <= bound, "expected at most $bound repeats, found $repeats")
        assertTrue(repeats >= 0.1 * requests, "expected repeats for a tenth of $requests at least, found $repeats")
    }
}
