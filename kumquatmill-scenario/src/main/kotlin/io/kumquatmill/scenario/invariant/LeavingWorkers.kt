package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.Observation

private const val NAME = "leaving-workers"

/** A draining worker gets no new requests after [InvariantBounds.leavingWorkerMs]. */
fun leavingWorkers(bounds: InvariantBounds): Invariant =
    Invariant(NAME) { history ->
        val leavingAtMs =
            history
                .observationsOf<Observation.WorkerLeaving>()
                .groupBy { it.worker }
                .mapValues { (_, notices) -> notices.first().atMs }
        history.observationsOf<Observation.AttemptArrived>().mapNotNull { arrival ->
            val sinceMs = leavingAtMs[arrival.worker]?.let { arrival.atMs - it } ?: return@mapNotNull null
            if (sinceMs <= bounds.leavingWorkerMs) return@mapNotNull null
            val detail = "${arrival.worker} got ${arrival.request} $sinceMs ms after it started to drain"
            Violation(NAME, arrival.atMs, "$detail, expected at most ${bounds.leavingWorkerMs} ms")
        }
    }
