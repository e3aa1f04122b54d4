package io.kumquatmill.scenario.invariant

import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "withdrawn-keys"

/** No request with a withdrawn key reaches a worker after [InvariantBounds.withdrawnKeyMs], also on connections opened before. */
fun withdrawnKeys(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val withdrawals = history.withdrawals()
        val sent = history.observationsOf<Observation.RequestSent>().associateBy { it.request }
        history.observationsOf<Observation.AttemptArrived>().mapNotNull { arrival ->
            if (arrival.workspace == null) return@mapNotNull null
            val withdrawal = withdrawals[sent.getValue(arrival.request).keyHash]?.firstOrNull { arrival.atMs in it }
            val lateMs = arrival.atMs - (withdrawal ?: return@mapNotNull null).first
            if (lateMs <= bounds.withdrawnKeyMs) return@mapNotNull null
            val detail = "the key of ${arrival.request} served $lateMs ms after its withdrawal"
            Violation(NAME, arrival.atMs, "$detail, expected at most ${bounds.withdrawnKeyMs} ms")
        }
    }

/** Returns the periods during which each key was withdrawn: from its withdrawal until before it was granted again. */
private fun History.withdrawals(): Map<KeyHash?, List<LongRange>> {
    val withdrawals = HashMap<KeyHash?, MutableList<LongRange>>()
    for ((before, after) in observationsOf<Observation.ConfigurationAccepted>().zipWithNext()) {
        val keysBefore = before.grantedKeys()
        val keysAfter = after.grantedKeys()
        (keysBefore - keysAfter).forEach { withdrawals.getOrPut(it) { mutableListOf() } += after.atMs..Long.MAX_VALUE }
        (keysAfter - keysBefore).forEach { key -> withdrawals[key]?.endLastAt(after.atMs) }
    }
    return withdrawals
}

private fun MutableList<LongRange>.endLastAt(atMs: Long) {
    this[lastIndex] = last().first until atMs
}

private fun Observation.ConfigurationAccepted.grantedKeys(): Set<KeyHash> = configuration.customers.flatMap { it.keyHashes }.toSet()
