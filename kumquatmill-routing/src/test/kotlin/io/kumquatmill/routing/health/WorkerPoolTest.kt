package io.kumquatmill.routing.health

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.routing.testUpstream
import io.kumquatmill.routing.testWorkers
import io.kumquatmill.routing.worker.WorkerChoice
import io.kumquatmill.routing.worker.WorkerQuery
import io.kumquatmill.routing.worker.WorkerSelector
import io.kumquatmill.routing.zapad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class WorkerPoolTest {
    private val workers = testWorkers(9)
    private val random = Random(11)
    private val pool = WorkerPool(workers, random)
    private val selector = WorkerSelector(pool, random)
    private val query = WorkerQuery(testUpstream, zapad, AvailabilityZoneId("zapad-0"))

    @Test
    fun `a slow worker is ejected and reinstated after a fast probe`() {
        serve(0 until 4_000) { if (it == 0) 300 else 10 }
        assertTrue(pool.isEjected(workers[0].id), "the slow worker should be ejected")
        val servedWhileEjected = serve(4_000 until 5_000) { if (it == 0) 300 else 10 }.getOrDefault(0, 0)
        assertEquals(0, servedWhileEjected, "requests at the ejected worker")
        serve(5_000 until 20_000) { 10 }
        assertEquals(emptyList(), workers.filter { pool.isEjected(it.id) })
        val kinds = pool.takeChanges().filter { it.worker == workers[0].id }.map { it::class.simpleName }
        assertEquals(listOf("Ejected", "Reinstated"), kinds)
    }

    @Test
    fun `at most the configured fraction is ejected however many workers are slow or failing`() {
        serve(0 until 20_000) { if (it < 4) 500 else 10 }
        val slow = workers.count { pool.isEjected(it.id) }
        assertEquals(3, slow, "ejected workers of 9 with 4 slow ones")
        val failing = WorkerPool(workers, random)
        for (nowMs in 0L until 100L) workers.forEach { failing.onAttemptEnded(nowMs, it.id, AttemptSample.Failed) }
        assertEquals(3, workers.count { failing.isEjected(it.id) }, "ejected workers of 9 that all fail")
    }

    @Test
    fun `workers that refuse connections are ejected immediately, without a limit`() {
        workers.forEach { pool.onAttemptEnded(0, it.id, AttemptSample.Unreachable) }
        assertEquals(workers.map { it.id }, workers.map { it.id }.filter(pool::isEjected))
        assertEquals(WorkerChoice.NoEligibleWorker, selector.select(0, query) { true })
    }

    @Test
    fun `the ejection time doubles while probes fail`() {
        val worker = workers[0].id
        repeat(3) { pool.onAttemptEnded(0, worker, AttemptSample.Failed) }
        var untilMs = 0L
        val durationsMs =
            List(4) {
                val ejected = assertIs<HealthChange.Ejected>(pool.takeChanges().single())
                val durationMs = ejected.untilMs - untilMs
                untilMs = ejected.untilMs
                pool.onAttemptEnded(untilMs, worker, AttemptSample.Failed)
                durationMs
            }
        assertEquals(listOf<Long>(5_000, 10_000, 20_000, 40_000), durationsMs)
    }

    @Test
    fun `timeouts of requests with short deadlines eject no worker`() {
        serve(0 until 1_000) { 10 }
        repeat(50) { pool.onAttemptEnded(1_000, workers[0].id, AttemptSample.TimedOut(waitedMs = 15)) }
        assertTrue(!pool.isEjected(workers[0].id), "the worker should not be ejected for timeouts within the usual latency")
        repeat(3) { pool.onAttemptEnded(1_000, workers[0].id, AttemptSample.TimedOut(waitedMs = 400)) }
        assertTrue(pool.isEjected(workers[0].id), "a worker that does not respond should be ejected")
    }

    @Test
    fun `workers of hosts that leave the host list are drained and those of hosts never listed are not`() {
        val hosts = workers.map { it.host }
        pool.onHostList(0, liveHosts = hosts.take(4).toSet(), drainingHosts = setOf(hosts[4]))
        pool.onHostList(1, liveHosts = hosts.drop(1).take(4).toSet(), drainingHosts = emptySet())
        pool.onHostList(2, liveHosts = emptySet(), drainingHosts = emptySet())
        assertEquals(listOf(hosts[0]), workers.filter { pool.isDraining(it.id) }.map { it.host })
    }

    @Test
    fun `a drain ends only when no source reports it any more`() {
        val worker = workers[0].id
        pool.onLoadReport(0, worker, load(isDraining = true, reportedAtMs = 0))
        pool.onDrainResponse(10, worker)
        pool.onLoadReport(20, worker, load(isDraining = false, reportedAtMs = 15))
        pool.expireDrains(30_009)
        assertTrue(pool.isDraining(worker), "the worker's own response should still count")
        pool.onLoadReport(40, worker, load(isDraining = true, reportedAtMs = 5))
        pool.expireDrains(30_010)
        assertTrue(!pool.isDraining(worker), "the response should have expired, and the out-of-order report been ignored")
    }

    private fun load(
        isDraining: Boolean,
        reportedAtMs: Long,
    ) = WorkerLoad(0, isHealthy = true, isDraining, reportedAtMs)

    /** Sends a request every 2 ms and returns the number of requests per worker. */
    private fun serve(
        timesMs: IntRange,
        latencyMs: (worker: Int) -> Long,
    ): Map<Int, Int> {
        val running = ArrayList<Triple<Long, Int, Long>>()
        val counts = HashMap<Int, Int>()
        for (nowMs in timesMs.first.toLong()..timesMs.last) {
            running
                .filter { it.first <= nowMs }
                .forEach { pool.onAttemptEnded(nowMs, workers[it.second].id, AttemptSample.Served(it.third)) }
            running.removeAll { it.first <= nowMs }
            if (nowMs % 2 != 0L) continue
            val choice = selector.select(nowMs, query) { true } as? WorkerChoice.Chosen ?: continue
            val index = workers.indexOf(choice.worker)
            pool.onAttemptStarted(choice.worker.id)
            counts.merge(index, 1, Int::plus)
            running += Triple(nowMs + latencyMs(index), index, latencyMs(index))
        }
        return counts
    }
}
