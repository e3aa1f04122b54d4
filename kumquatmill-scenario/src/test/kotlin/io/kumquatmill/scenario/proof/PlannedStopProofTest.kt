package io.kumquatmill.scenario.proof

import io.kumquatmill.node.NodeSettings
import kotlin.test.Test
import kotlin.time.Duration.Companion.seconds

/** The host that serves most callers under [mixedLoad]. */
private const val BUSY_HOST = "h7"

class PlannedStopProofTest {
    private fun withoutDrain(settings: NodeSettings): NodeSettings =
        settings.copy(
            request = settings.request.copy(drainMs = 0, maxDrainMs = 0),
            membership = settings.membership.copy(departTimeoutMs = 0),
        )

    @Test
    fun `a planned stop costs no request`() {
        prove("planned stop") {
            at(10.seconds) { stop(BUSY_HOST) }
            lasts(40.seconds)
        }.keepsAllPromises().refusesNothingWrongly()
    }

    @Test
    fun `without the drain a planned stop cuts requests`() {
        prove("stop at once", change = ::withoutDrain) {
            at(10.seconds) { stop(BUSY_HOST) }
            lasts(30.seconds)
        }.breaks("planned-stops")
    }

    @Test
    fun `all hosts can be replaced one after the other under load`() {
        prove("rolling replacement") {
            (1..7).forEach { index ->
                at((20 * index).seconds) { stop("h$index") }
                at((20 * index + 12).seconds) { startIfEnded("h$index") }
            }
            lasts(170.seconds)
        }.keepsAllPromises().refusesNothingWrongly()
    }

    @Test
    fun `a planned stop in an outage of the store cuts no request`() {
        prove("planned stop, store down") {
            at(8.seconds) { storeDown() }
            at(10.seconds) { stop(BUSY_HOST) }
            at(40.seconds) { storeUp() }
            lasts(60.seconds)
        }.keepsAllPromises()
    }
}
