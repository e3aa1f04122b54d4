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
    fun `no worker gets more than its slots under lagging and misleading load reports`() {
        for (seed in 1..20) {
            val random = Random(seed)
            val pool = WorkerPool(workers, random)
            val selector = WorkerSelector(pool, random)
            val running = ArrayDeque<WorkerId>()
            var refusals = 0
            for (nowMs in 0L until 5_000L) {
                val liar = workers.random(random)
                val lie = WorkerLoad(random.nextInt(-5, 20), random.nextBoolean(), isDraining = false, nowMs - random.nextLong(9_000))
                pool.loadReported(nowMs, liar.id, lie)
                val choice = selector.select(nowMs, query) { true }
                if (choice is WorkerChoice.Chosen) running += choice.worker.id.also(pool::attemptStarted) else refusals += 1
                if (running.size > 190 && random.nextInt(3) > 0) pool.attemptEnded(nowMs, running.removeFirst(), AttemptSample.Neutral)
                val most = workers.maxOf { pool.inFlight(it.id) }
                assertTrue(most <= 7, "seed $seed: a worker has $most requests, expected at most 7")
            }
            assertTrue(refusals > 0, "seed $seed: the run never reached the slots")
        }
    }

    @Test
    fun `following the lagging load reports instead passes the slots`() {
        val busy = IntArray(28)
        repeat(10) {
            val reported = busy.copyOf()
            repeat(19) { busy[reported.indices.minBy { reported[it] }] += 1 }
        }
        assertTrue(busy.max() > 7, "requests of a worker by reports that lag by 19 of 196 requests: ${busy.max()}, expected more than 7")
    }

    @Test
    fun `requests spread evenly over the workers`() {
        val pool = WorkerPool(workers, Random(7))
        val selector = WorkerSelector(pool, Random(7))
        repeat(28 * 3) { pool.attemptStarted(chosen(selector.select(0, query) { true })) }
        val counts = workers.map { pool.inFlight(it.id) }
        assertTrue(counts.min() >= 1 && counts.max() <= 5, "requests at each worker: $counts, expected 1 to 5 around 3")
    }

    @Test
    fun `a worker without a slot in the ledger is passed over`() {
        val selector = WorkerSelector(WorkerPool(workers, Random(1)), Random(1))
        val only = workers[11].id
        repeat(50) { assertEquals(only, chosen(selector.select(0, query) { it == only })) }
        assertEquals(WorkerChoice.NoSlot, selector.select(0, query) { false })
    }

    @Test
    fun `a host without slots asks for some of a worker that may take requests`() {
        val pool = WorkerPool(workers, Random(1))
        val selector = WorkerSelector(pool, Random(1), heldSlots = { 0 })
        workers.drop(5).forEach { pool.drainAnswered(0, it.id) }
        val asked = ArrayList<WorkerId>()
        repeat(50) { assertEquals(WorkerChoice.NoSlot, selector.select(0, query) { id -> asked.add(id).let { false } }) }
        assertEquals(100, asked.size, "slots asked for")
        assertEquals(workers.take(5).map { it.id }.toSet(), asked.toSet())
    }

    @Test
    fun `tried and leaving workers get nothing`() {
        val pool = WorkerPool(workers, Random(1))
        val selector = WorkerSelector(pool, Random(1))
        workers.drop(2).forEach { pool.drainAnswered(0, it.id) }
        val excluded = query.copy(excluded = setOf(workers[0].id))
        repeat(50) { assertEquals(workers[1].id, chosen(selector.select(0, excluded) { true })) }
        pool.hostListRead(0, live = emptySet(), leaving = setOf(workers[1].host))
        assertEquals(WorkerChoice.NoWorker, selector.select(0, excluded) { true })
    }

    @Test
    fun `a new worker gets a growing part of its slots`() {
        val pool = WorkerPool(emptyList(), Random(5))
        pool.replaceWorkers(0, testWorkers(1, slots = 20))
        val selector = WorkerSelector(pool, Random(5))
        val reached =
            listOf(0L, 2_500L, 5_000L, 10_000L).map { nowMs ->
                while (true) pool.attemptStarted((selector.select(nowMs, query) { true } as? WorkerChoice.Chosen ?: break).worker.id)
                pool.inFlight(WorkerId("worker-1"))
            }
        assertTrue(reached[0] in 2..3, "requests at first: ${reached[0]}, expected a tenth of 20 slots")
        assertTrue(reached[1] in 6..7 && reached[2] in 11..12, "requests over time: $reached")
        assertEquals(20, reached[3], "requests after the ramp")
    }

    @Test
    fun `an old load report does not matter`() {
        val pool = WorkerPool(workers, Random(3))
        val selector = WorkerSelector(pool, Random(3))
        workers.take(14).forEach { pool.loadReported(0, it.id, WorkerLoad(7, isHealthy = false, isDraining = false, reportedAtMs = 0)) }
        val fresh = (1..2_000).count { chosen(selector.select(1_000, query) { true }) in workers.take(14).map { w -> w.id } }
        val old = (1..2_000).count { chosen(selector.select(6_000, query) { true }) in workers.take(14).map { w -> w.id } }
        assertTrue(fresh < 700, "picks of workers reported busy: $fresh of 2000, expected well below a half")
        assertTrue(old in 900..1_100, "picks after the report aged: $old of 2000, expected about a half")
    }

    private fun chosen(choice: WorkerChoice): WorkerId = assertIs<WorkerChoice.Chosen>(choice).worker.id
}
