package io.kumquatmill.routing.idempotency

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals

class IdempotencyRegisterTest {
    private val register = IdempotencyRegister(IdempotencySettings(maxEntries = 10, maxPerWorkspace = 4))

    @Test
    fun `a repeat is a duplicate while the first is open and for ten minutes after its end`() {
        assertEquals(IdempotencyClaim.Granted, register.claim(0, key("a")))
        assertEquals(IdempotencyClaim.Duplicate, register.claim(9_000_000, key("a")))
        register.end(9_000_000, key("a"), Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, 0))
        assertEquals(IdempotencyClaim.Duplicate, register.claim(9_599_999, key("a")))
        assertEquals(IdempotencyClaim.Granted, register.claim(9_600_000, key("a")))
    }

    @Test
    fun `a request that did not run may be repeated`() {
        register.claim(0, key("a"))
        register.end(1, key("a"), Outcome.NotRun(RefusalReason.NO_CAPACITY, 0))
        assertEquals(IdempotencyClaim.Granted, register.claim(2, key("a")))
        assertEquals(IdempotencyClaim.Granted, register.claim(2, key("a", "other")))
    }

    @Test
    fun `a full register grants nothing unremembered and keeps room for other workspaces`() {
        repeat(4) { register.claim(0, key("k$it")) }
        register.end(1_000, key("k0"), Outcome.Answered(200))
        assertEquals(IdempotencyClaim.Full(retryAfterMs = 599_000), register.claim(2_000, key("k9")))
        assertEquals(IdempotencyClaim.Duplicate, register.claim(2_000, key("k0")))
        assertEquals(IdempotencyClaim.Granted, register.claim(2_000, key("k9", "other")))
        assertEquals(IdempotencyClaim.KeyTooLong, register.claim(2_000, key("x".repeat(129), "other")))
        assertEquals(5, register.size)
    }

    private fun key(
        value: String,
        workspace: String = "pharmacy",
    ) = IdempotencyKey(WorkspaceId(workspace), RouteId("orders"), value)
}
