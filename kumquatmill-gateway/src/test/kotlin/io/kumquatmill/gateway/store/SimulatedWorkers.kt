package io.kumquatmill.gateway.store

import io.kumquatmill.common.id.WorkerId
import kotlin.random.Random

/** Workers of simulations, which write entries about themselves into [store] and know what they wrote, whether or not it still has it. */
internal class SimulatedWorkers(
    private val store: SimulatedStore,
    private val random: Random,
) {
    private val statements = HashMap<String, String>()

    /** Processes that have left, by worker and start time. */
    val leftProcesses = HashSet<Pair<WorkerId, Long>>()

    /** Names of the workers that have not left. */
    val names: Set<String>
        get() = statements.keys.mapTo(HashSet()) { it.removePrefix(PREFIX) }

    /** Writes the next entry of the worker of [key], which becomes ready, drains, leaves and starts again. */
    fun advance(
        key: String,
        nowMs: Long,
    ) {
        val (state, startedAt, sequence) = (statements[key] ?: "gone/$nowMs/0").split('/')
        val next =
            when {
                state == "gone" -> "ready/$nowMs/1"
                random.nextBoolean() -> "$state/$startedAt/${sequence.toLong() + 1}"
                state == "ready" -> "draining/$startedAt/${sequence.toLong() + 1}"
                else -> null
            }
        if (next == null) leftProcesses += WorkerId(key.removePrefix(PREFIX)) to startedAt.toLong()
        if (next == null) statements.remove(key) else statements[key] = next
        store.write(key, next)
    }

    /** Writes what the worker of [key] says again, as the store has lost it. */
    fun rewrite(key: String) {
        statements.computeIfPresent(key) { _, statement ->
            val (state, startedAt, sequence) = statement.split('/')
            "$state/$startedAt/${sequence.toLong() + 1}"
        }
        store.write(key, statements[key])
    }

    private companion object {
        const val PREFIX = "workers/"
    }
}
