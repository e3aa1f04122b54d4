package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.history.Observation

private const val NAME = "true-refusals"

/** A request whose caller was told "not run" did not run on any worker, before or after. */
fun trueRefusals(): Invariant =
    Invariant(NAME) { history ->
        val runs = history.all<Observation.RunStarted>().groupBy { it.request }
        history
            .all<Observation.CallerAnswered>()
            .filter { it.outcome is Outcome.NotRun }
            .mapNotNull { answer ->
                val run = runs[answer.request]?.first() ?: return@mapNotNull null
                val detail = "${answer.request} was refused as not run, but ran on ${run.worker} at ${run.atMs} ms"
                Violation(NAME, maxOf(answer.atMs, run.atMs), detail)
            }
    }
