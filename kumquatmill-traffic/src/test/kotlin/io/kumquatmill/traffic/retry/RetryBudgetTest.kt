package io.kumquatmill.traffic.retry

import io.kumquatmill.traffic.catalogueUpstream
import kotlin.test.Test
import kotlin.test.assertTrue

class RetryBudgetTest {
    @Test
    fun `hosts whose workers all fail stay within the shared retry budget`() {
        val hosts = List(7) { RetryBudget(ratio = 0.2, reserve = 60.0, windowMs = 10_000) }
        var requests = 0
        var retries = 0
        for (nowMs in 0L until 10_000L step 10) {
            hosts.forEach { host ->
                host.onFirstAttempt(nowMs, catalogueUpstream, hosts = 7)
                requests++
                if (host.tryTake(nowMs, catalogueUpstream, hosts = 7)) retries++
            }
        }
        val bound = 0.2 * requests + 60
        assertTrue(retries <= bound, "expected at most $bound retries, found $retries")
        assertTrue(retries >= 0.1 * requests, "expected retries for a tenth of $requests at least, found $retries")
    }
}
