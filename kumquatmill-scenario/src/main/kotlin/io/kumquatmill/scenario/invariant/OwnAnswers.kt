package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.history.Observation

private const val NAME = "own-answers"

/** Each request gets at most one response, and that response belongs to the request. */
fun ownAnswers(): Invariant =
    Invariant(NAME) { history ->
        val responses = history.observationsOf<Observation.ResponseReceived>()
        val crossed =
            responses
                .filter { it.outcome is Outcome.Answered && it.respondedRequest != it.request }
                .map { Violation(NAME, it.atMs, "${it.request} got the response to ${it.respondedRequest}, expected its own") }
        val repeated =
            responses
                .groupBy { it.request }
                .filterValues { it.size > 1 }
                .map { (request, all) -> Violation(NAME, all[1].atMs, "$request got ${all.size} responses, expected 1") }
        crossed + repeated
    }
