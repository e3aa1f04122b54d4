package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.history.Observation

private const val NAME = "true-refusals"

/** A request that was refused as [Outcome.NotRun] runs on no worker, neither before nor after the refusal. */
fun trueRefusals(): Invariant =
    Invariant(NAME) { history ->
        val runs = history.observationsOf<Observation.RunStarted>().groupBy { it.request }
        history
            .observationsOf<Observation.ResponseReceived>()
            .filter { it.outcome is Outcome.NotRun }
            .mapNotNull { refusal ->
                val run = runs[refusal.request]?.first() ?: return@mapNotNull null
                val detail = "${refusal.request} was refused as not run, but ran on ${run.worker} at ${run.atMs} ms"
                Violation(NAME, maxOf(refusal.atMs, run.atMs), detail)
            }
    }
