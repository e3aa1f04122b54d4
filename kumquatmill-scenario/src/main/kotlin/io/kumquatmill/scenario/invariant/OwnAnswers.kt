package io.kumquatmill.scenario.invariant

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.scenario.history.Observation

private const val NAME = "own-answers"

/** Each caller gets one answer, and it is the answer to its own request. */
fun ownAnswers(): Invariant =
    Invariant(NAME) { history ->
        val answers = history.all<Observation.CallerAnswered>()
        val crossed =
            answers
                .filter { it.outcome is Outcome.Answered && it.answeredRequest != it.request }
                .map { Violation(NAME, it.atMs, "${it.request} got the answer to ${it.answeredRequest}, expected its own") }
        val repeated =
            answers
                .groupBy { it.request }
                .filterValues { it.size > 1 }
                .map { (request, all) -> Violation(NAME, all[1].atMs, "$request was answered ${all.size} times, expected once") }
        crossed + repeated
    }
