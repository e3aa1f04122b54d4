package io.kumquatmill.routing.idempotency

import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import kotlin.test.Test
import kotlin.test.assertEquals

class IdempotencyRegistryTest {
    private val registry = IdempotencyRegistry(IdempotencySettings(maxEntries = 10, maxPerWorkspace = 4))

    @Test
    fun `a retry is a duplicate while the first request is in progress and for ten minutes after it has ended`() {
        assertEquals(IdempotencyClaim.Granted, registry.claim(0, key("a")))
        assertEquals(IdempotencyClaim.Duplicate, registry.claim(9_000_000, key("a")))
        registry.complete(9_000_000, key("a"), Outcome.Unknown(RefusalReason.UPSTREAM_FAILED, 0))
        assertEquals(IdempotencyClaim.Duplicate, registry.claim(9_599_999, key("a")))
        assertEquals(IdempotencyClaim.Granted, registry.claim(9_600_000, key("a")))
    }

    @Test
    fun `a request that did not run may be retried`() {
        registry.claim(0, key("a"))
        registry.complete(1, key("a"), Outcome.NotRun(RefusalReason.NO_CAPACITY, 0))
        assertEquals(IdempotencyClaim.Granted, registry.claim(2, key("a")))
        assertEquals(IdempotencyClaim.Granted, registry.claim(2, key("a", "other")))
    }

    @Test
    fun `a full registry grants no new keys and keeps room for other workspaces`() {
        repeat(4) { registry.claim(0, key("k$it")) }
        registry.complete(1_000, key("k0"), Outcome.Answered(200))
        assertEquals(IdempotencyClaim.Full(retryAfterMs = 599_000), registry.claim(2_000, key("k9")))
        assertEquals(IdempotencyClaim.Duplicate, registry.claim(2_000, key("k0")))
        assertEquals(IdempotencyClaim.Granted, registry.claim(2_000, key("k9", "other")))
        assertEquals(IdempotencyClaim.KeyTooLong, registry.claim(2_000, key("x".repeat(129), "other")))
        assertEquals(5, registry.size)
    }

    private fun key(
        value: String,
        workspace: String = "pharmacy",
    ) = IdempotencyKey(WorkspaceId(workspace), RouteId("orders"), value)
}
