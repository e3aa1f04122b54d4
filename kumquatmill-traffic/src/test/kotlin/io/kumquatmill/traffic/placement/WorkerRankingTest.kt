package io.kumquatmill.traffic.placement

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.traffic.catalogueUpstream
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workerRegistry
import kotlin.math.ln
import kotlin.math.max
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class WorkerRankingTest {
    private fun trackedWorkers(count: Int): List<TrackedWorker> {
        val registry = workerRegistry()
        registry.update(0, steeringState((1..count).map { worker("w$it") }), listOf("h1"))
        return registry.workersOf(catalogueUpstream)
    }

    /** The formula of earlier builds: the score of each accepted worker, all of them sorted. */
    private fun sortedByScore(
        affinityHash: Long,
        workers: List<TrackedWorker>,
        weightOf: (TrackedWorker) -> Double,
    ) = workers.sortedByDescending {
        val unit = (combineHashes(affinityHash, it.nameHash) ushr 11) / 9.007199254740992E15
        -weightOf(it) / ln(max(unit, Double.MIN_VALUE))
    }

    @Test
    fun `the first workers are those of sorting all by score, for any weights, accepted workers and repeated keys`() {
        val random = Random(7)
        listOf(0, 1, 2, 3, 9, 40, 143).forEach { count ->
            val workers = trackedWorkers(count)
            (1..4).forEach { distinctWeights ->
                val levels = List(distinctWeights) { 0.05 + random.nextDouble() * 10 }
                val weights = workers.associateWith { levels[random.nextInt(distinctWeights)] }
                val ranking = WorkerRanking(workers, weights::getValue)
                val keys = List(2_200) { random.nextLong() }
                // More shared keys than are kept, then the last of them again.
                (keys + List(300) { keys[2_170 + random.nextInt(30)] }).forEach { key ->
                    val acceptedPart = listOf(1.0, 0.9, 0.3, 0.0)[random.nextInt(4)]
                    val accepted = workers.filterTo(HashSet()) { random.nextDouble() < acceptedPart }
                    val expected = sortedByScore(key, workers.filter { it in accepted }, weights::getValue).take(3)
                    val found = ranking.first(key, 3, isShared = random.nextBoolean()) { it in accepted }
                    assertEquals(expected.map { it.entry.id }, found.map { it.entry.id })
                }
            }
        }
    }
}
