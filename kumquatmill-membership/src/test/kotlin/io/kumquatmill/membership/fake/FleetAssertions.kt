package io.kumquatmill.membership.fake

import io.kumquatmill.common.fleet.RosterPhase
import kotlin.test.assertEquals

/** Asserts that no invariant has been violated so far. */
internal fun FakeFleet.assertNoViolations() = assertEquals(emptyList(), invariants.violations.take(3))

/** Asserts that exactly [expected] have standing now. */
internal fun FakeFleet.assertStanding(expected: Collection<FakeHost>) =
    assertEquals(expected.map { it.id }.toSet(), hosts.filter { it.hasStanding }.map { it.id }.toSet(), "standing at $nowMs ms")

/** Asserts that [expected] have standing at the end of each second of [durationMs]. */
internal fun FakeFleet.assertStandingThroughout(
    durationMs: Long,
    expected: Collection<FakeHost>,
) = repeat((durationMs / 1_000).toInt()) {
    run(1_000)
    assertStanding(expected)
}

/** Asserts that all running hosts are members of one settled epoch, with standing and the same, fresh configuration. */
internal fun FakeFleet.assertConverged(context: String = "") {
    val running = hosts.filter { it.isRunning }
    val states =
        running.map {
            listOf(
                it.standingEpochAndPhase?.first,
                it.standingEpochAndPhase?.second,
                it.isMember,
                it.isFresh,
                it.configuration.current.revision,
            )
        }
    val details = running.zip(states).joinToString { (host, state) -> "${host.id}: $state" }
    assertEquals(1, states.distinct().size, "$context one state at $nowMs ms, got $details")
    assertEquals(listOf<Any?>(RosterPhase.SETTLED, true, true), states.first().subList(1, 4), "$context at $nowMs ms: $details")
}
