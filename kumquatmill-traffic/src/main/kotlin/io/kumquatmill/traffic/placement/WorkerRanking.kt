package io.kumquatmill.traffic.placement

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.weightedRendezvousScore
import kotlin.math.min

/**
 * Ranks the workers of one upstream for affinity keys by weighted rendezvous hashing.
 *
 * Among workers of equal weight the order of the scores is that of the hashes, so the score, which takes a logarithm, is computed only for
 * the best workers of each weight. The first workers of recent keys are kept.
 *
 * @param workers workers of the upstream
 * @param weightOf returns the weight of a worker
 */
internal class WorkerRanking(
    private val workers: List<TrackedWorker>,
    weightOf: (TrackedWorker) -> Double,
) {
    private val weights = DoubleArray(workers.size) { weightOf(workers[it]) }
    private val groups = workers.indices.groupBy { weights[it] }.map { (weight, indices) -> Group(weight, indices.map { workers[it] }) }
    private val firstWorkersByKey =
        object : LinkedHashMap<Long, List<TrackedWorker>>(INITIAL_KEYS, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, List<TrackedWorker>>): Boolean = size > MAX_KEYS
        }

    /** Returns whether a ranking of [otherWorkers] by [weightOf] would be this one. */
    fun isOf(
        otherWorkers: List<TrackedWorker>,
        weightOf: (TrackedWorker) -> Double,
    ): Boolean =
        otherWorkers.size == workers.size &&
            workers.indices.all { otherWorkers[it] === workers[it] && weightOf(otherWorkers[it]) == weights[it] }

    /**
     * Returns the [count] workers that [affinityHash] prefers among those that [accepts] accepts, most preferred first.
     *
     * @param isShared whether other requests are likely to have the same key, so that its first workers are kept
     */
    fun first(
        affinityHash: Long,
        count: Int,
        isShared: Boolean,
        accepts: (TrackedWorker) -> Boolean,
    ): List<TrackedWorker> {
        if (!isShared) return scan(affinityHash, count, accepts)
        val firstWorkers = firstWorkersByKey.getOrPut(affinityHash) { scan(affinityHash, KEPT_WORKERS) { true } }
        val accepted = ArrayList<TrackedWorker>(count)
        for (worker in firstWorkers) {
            if (accepts(worker)) accepted += worker
            if (accepted.size == count) return accepted
        }
        return if (firstWorkers.size == workers.size) accepted else scan(affinityHash, count, accepts)
    }

    private fun scan(
        affinityHash: Long,
        count: Int,
        accepts: (TrackedWorker) -> Boolean,
    ): List<TrackedWorker> {
        val best = Best(min(count, workers.size))
        groups.forEach { it.addFirst(affinityHash, best, accepts) }
        return best.workers()
    }

    /** Workers of equal weight. */
    private class Group(
        private val weight: Double,
        private val workers: List<TrackedWorker>,
    ) {
        /** Adds to [best] the accepted workers that may be among the best of all. */
        fun addFirst(
            affinityHash: Long,
            best: Best,
            accepts: (TrackedWorker) -> Boolean,
        ) {
            val first = Best(best.capacity)
            for (worker in workers) {
                // The score ignores the low bits, so it depends on the order of the workers which of two with the same high bits is first.
                val hash = (combineHashes(affinityHash, worker.nameHash) ushr IGNORED_BITS).toDouble()
                if (first.wouldAdd(hash) && accepts(worker)) first.add(worker, hash)
            }
            first.forEach { worker -> best.add(worker, weightedRendezvousScore(affinityHash, worker.nameHash, weight)) }
        }
    }

    /** The [capacity] workers with the highest scores, highest first. */
    private class Best(
        val capacity: Int,
    ) {
        private val workers = arrayOfNulls<TrackedWorker>(capacity)
        private val scores = DoubleArray(capacity)
        private var size = 0

        fun wouldAdd(score: Double): Boolean = size < capacity || (size > 0 && score > scores[size - 1])

        fun add(
            worker: TrackedWorker,
            score: Double,
        ) {
            if (!wouldAdd(score)) return
            if (size < capacity) size++
            var index = size - 1
            while (index > 0 && scores[index - 1] < score) {
                workers[index] = workers[index - 1]
                scores[index] = scores[index - 1]
                index--
            }
            workers[index] = worker
            scores[index] = score
        }

        fun forEach(action: (TrackedWorker) -> Unit) {
            for (index in 0 until size) workers[index]?.let(action)
        }

        fun workers(): List<TrackedWorker> = ArrayList<TrackedWorker>(size).also { list -> forEach { list += it } }
    }

    private companion object {
        /** Keys whose first workers are kept: some times the number of objects that an upstream's workers cache for one host. */
        const val MAX_KEYS = 1_024
        const val INITIAL_KEYS = 64
        const val LOAD_FACTOR = 0.75f

        /** Workers kept for a key: with so many, an accepted one is nearly always among them while some are busy or draining. */
        const val KEPT_WORKERS = 8

        /** Bits of a hash that its score does not depend on, see [io.kumquatmill.common.hash.toUnitInterval]. */
        const val IGNORED_BITS = 11
    }
}
