package io.kumquatmill.scenario.invariant

import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "withdrawn-keys"

/** A key that was withdrawn reaches no worker after the stated time, also on connections that were open before. */
fun withdrawnKeys(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val withdrawals = history.withdrawals()
        val sent = history.all<Observation.RequestSent>().associateBy { it.request }
        history.all<Observation.AttemptArrived>().mapNotNull { arrival ->
            if (arrival.workspace == null) return@mapNotNull null
            val withdrawnAtMs = withdrawals[sent.getValue(arrival.request).keyHash] ?: return@mapNotNull null
            val lateMs = arrival.atMs - withdrawnAtMs
            if (lateMs <= bounds.withdrawnKeyMs) return@mapNotNull null
            Violation(NAME, arrival.atMs, "a key served $lateMs ms after its withdrawal, expected at most ${bounds.withdrawnKeyMs} ms")
        }
    }

/** Returns when each key that is granted to nobody at the end was withdrawn. */
private fun History.withdrawals(): Map<KeyHash?, Long> {
    val accepted = all<Observation.ListsAccepted>()
    val withdrawnAtMs = HashMap<KeyHash?, Long>()
    for ((before, after) in accepted.zipWithNext()) {
        val keysAfter = after.grantedKeys()
        (before.grantedKeys() - keysAfter).forEach { withdrawnAtMs[it] = after.atMs }
        keysAfter.forEach { withdrawnAtMs -= it }
    }
    return withdrawnAtMs
}

private fun Observation.ListsAccepted.grantedKeys(): Set<KeyHash> = lists.customers.flatMap { it.keyHashes }.toSet()
