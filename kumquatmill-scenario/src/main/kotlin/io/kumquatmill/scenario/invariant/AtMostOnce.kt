package io.kumquatmill.scenario.invariant

import io.kumquatmill.scenario.history.History
import io.kumquatmill.scenario.history.Observation

private const val NAME = "at-most-once"

/** A request on a route that is not idempotent runs at most once on all workers together. */
fun atMostOnce(): Invariant =
    Invariant(NAME) { history ->
        val singleRun = history.nonIdempotentRequests()
        history
            .observationsOf<Observation.RunStarted>()
            .filter { it.request in singleRun }
            .groupBy { it.request }
            .filterValues { it.size > 1 }
            .map { (request, runs) ->
                Violation(NAME, runs[1].atMs, "$request ran ${runs.size} times, on ${runs.map { it.worker }}, expected at most once")
            }
    }

private fun History.nonIdempotentRequests() =
    observationsOf<Observation.RequestSent>()
        .filterNot { isIdempotent(it.route) }
        .map { it.request }
        .toSet()
