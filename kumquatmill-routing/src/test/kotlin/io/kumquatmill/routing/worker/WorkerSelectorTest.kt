package io.kumquatmill.routing.worker

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.routing.health.AttemptSample
import io.kumquatmill.routing.health.WorkerLoad
import io.kumquatmill.routing.health.WorkerPool
import io.kumquatmill.routing.testUpstream
import io.kumquatmill.routing.testWorkers
import io.kumquatmill.routing.zapad
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class WorkerSelectorTest {
    private val workers = testWorkers(28)
    private val query = WorkerQuery(testUpstream, zapad, AvailabilityZoneId("zapad-0"))

    @Test
    fun `no worker exceeds its slots despite lagging and misleading load reports`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val pool = WorkerPool(workers, random)
            val selector = WorkerSelector(pool, random)
            val running = ArrayDeque<WorkerId>()
            var refusals = 0
            for (nowMs in 0L until 5_000L) {
                val reportingWorker = workers.random(random)
                val report = WorkerLoad(random.nextInt(-5, 20), random.nextBoolean(), isDraining = false, nowMs - random.nextLong(9_000))
                pool.onLoadReport(nowMs, reportingWorker.id, report)
                val choice = selector.select(nowMs, query) { true }
                if (choice is WorkerChoice.Chosen) running += choice.worker.id.also(pool::onAttemptStarted) else refusals += 1
                if (running.size > 190 && random.nextInt(3) > 0) pool.onAttemptEnded(nowMs, running.removeFirst(), AttemptSample.Neutral)
                val maxInFlight = workers.maxOf { pool.inFlight(it.id) }
                assertTrue(maxInFlight <= 7, "seed $seed: $maxInFlight requests in flight at one worker, expected at most 7")
            }
            assertTrue(refusals > 0, "seed $seed: the run never used up the slots")
        }
    }

    @Test
    fun `selection by lagging load reports alone exceeds the slots`() {
        val busy = IntArray(28)
        repeat(10) {
            val reported = busy.copyOf()
            repeat(19) { busy[reported.indices.minBy { reported[it] }] += 1 }
        }
        assertTrue(busy.max() > 7, "requests at one worker when reports lag by 19 of 196 requests: ${busy.max()}, expected more than 7")
    }

    @Test
    fun `requests are spread evenly over the workers`() {
        val pool = WorkerPool(workers, Random(7))
        val selector = WorkerSelector(pool, Random(7))
        repeat(28 * 3) { pool.onAttemptStarted(chosen(selector.select(0, query) { true })) }
        val counts = workers.map { pool.inFlight(it.id) }
        assertTrue(counts.min() >= 1 && counts.max() <= 5, "requests at each worker: $counts, expected 1 to 5, with a mean of 3")
    }

    @Test
    fun `a worker whose slot can't be acquired is skipped`() {
        val selector = WorkerSelector(WorkerPool(workers, Random(1)), Random(1))
        val onlyWorker = workers[11].id
        repeat(50) { assertEquals(onlyWorker, chosen(selector.select(0, query) { it == onlyWorker })) }
        assertEquals(WorkerChoice.NoFreeSlot, selector.select(0, query) { false })
    }

    @Test
    fun `a host without slots tries to acquire slots of eligible workers only`() {
        val pool = WorkerPool(workers, Random(1))
        val selector = WorkerSelector(pool, Random(1), heldSlots = { 0 })
        workers.drop(5).forEach { pool.onDrainResponse(0, it.id) }
        val attemptedWorkers = ArrayList<WorkerId>()
        repeat(50) { assertEquals(WorkerChoice.NoFreeSlot, selector.select(0, query) { id -> attemptedWorkers.add(id).let { false } }) }
        assertEquals(100, attemptedWorkers.size, "attempts to acquire a slot")
        assertEquals(workers.take(5).map { it.id }.toSet(), attemptedWorkers.toSet())
    }

    @Test
    fun `excluded and draining workers receive no requests`() {
        val pool = WorkerPool(workers, Random(1))
        val selector = WorkerSelector(pool, Random(1))
        workers.drop(2).forEach { pool.onDrainResponse(0, it.id) }
        val queryWithExclusion = query.copy(excludedWorkers = setOf(workers[0].id))
        repeat(50) { assertEquals(workers[1].id, chosen(selector.select(0, queryWithExclusion) { true })) }
        pool.onHostList(0, liveHosts = emptySet(), drainingHosts = setOf(workers[1].host))
        assertEquals(WorkerChoice.NoEligibleWorker, selector.select(0, queryWithExclusion) { true })
    }

    @Test
    fun `a new worker gets a growing fraction of its slots`() {
        val pool = WorkerPool(emptyList(), Random(5))
        pool.replaceWorkers(0, testWorkers(1, slots = 20))
        val selector = WorkerSelector(pool, Random(5))
        val inFlightOverTime =
            listOf(0L, 2_500L, 5_000L, 10_000L).map { nowMs ->
                while (true) pool.onAttemptStarted((selector.select(nowMs, query) { true } as? WorkerChoice.Chosen ?: break).worker.id)
                pool.inFlight(WorkerId("worker-1"))
            }
        assertTrue(inFlightOverTime[0] in 2..3, "requests at the start: ${inFlightOverTime[0]}, expected a tenth of 20 slots")
        assertTrue(inFlightOverTime[1] in 6..7 && inFlightOverTime[2] in 11..12, "requests over time: $inFlightOverTime")
        assertEquals(20, inFlightOverTime[3], "requests after the slow start")
    }

    @Test
    fun `a stale load report is ignored`() {
        val pool = WorkerPool(workers, Random(3))
        val selector = WorkerSelector(pool, Random(3))
        workers.take(14).forEach { pool.onLoadReport(0, it.id, WorkerLoad(7, isHealthy = false, isDraining = false, reportedAtMs = 0)) }
        val picksWhileFresh = (1..2_000).count { chosen(selector.select(1_000, query) { true }) in workers.take(14).map { w -> w.id } }
        val picksWhenStale = (1..2_000).count { chosen(selector.select(6_000, query) { true }) in workers.take(14).map { w -> w.id } }
        assertTrue(picksWhileFresh < 700, "picks of workers reported as busy: $picksWhileFresh of 2000, expected well below half")
        assertTrue(picksWhenStale in 900..1_100, "picks once the report is stale: $picksWhenStale of 2000, expected about half")
    }

    private fun chosen(choice: WorkerChoice): WorkerId = assertIs<WorkerChoice.Chosen>(choice).worker.id
}
