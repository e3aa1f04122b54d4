package io.kumquatmill.traffic.crash

import io.kumquatmill.traffic.worker
import kotlin.test.Test
import kotlin.test.assertEquals

class LostRequestsTest {
    private val probed = ArrayList<String>()
    private val ended = ArrayList<Pair<Long, WorkerEndSign>>()
    private val lost =
        LostRequests(CrashSettings(), { probed += it.id.value }) { _, request, sign -> ended += request.fingerprint.value to sign }
    private val entry = worker("w1")

    private fun lose(
        nowMs: Long,
        fingerprint: Long = 1,
    ) = lost.onLost(nowMs, nowMs - 50, entry, RequestFingerprint(fingerprint))

    @Test
    fun `a lost connection alone is no crash, and the worker is probed at once`() {
        lose(1_000)
        assertEquals(listOf("w1"), probed)
        lost.onProbed(1_010, entry, ProbeResult.ACCEPTED)
        lost.tick(5_000)
        assertEquals(listOf("w1"), probed)
        assertEquals(emptyList(), ended)
    }

    @Test
    fun `all requests that a worker ran have been there when its address refuses a connection`() {
        lose(1_000, fingerprint = 1)
        lose(1_005, fingerprint = 2)
        lost.onProbed(1_010, entry, ProbeResult.REFUSED)
        assertEquals(listOf(1L to WorkerEndSign.REFUSED, 2L to WorkerEndSign.REFUSED), ended)
        lost.onRefused(1_020, entry)
        assertEquals(2, ended.size)
    }

    @Test
    fun `a request's own attempt at the address shows that the worker has ended, also after a probe without a result`() {
        lose(1_000)
        lost.onProbed(1_400, entry, ProbeResult.UNKNOWN)
        lost.onRefused(3_000, entry)
        assertEquals(listOf(1L to WorkerEndSign.REFUSED), ended)
    }

    @Test
    fun `an entry that says that the worker has started again shows that it had ended, another change does not`() {
        lose(1_000)
        lost.onProbed(1_010, entry, ProbeResult.ACCEPTED)
        lost.onEntries(1_500, emptyMap())
        lost.onEntries(2_000, listOf(entry.copy(revision = 9)).associateBy { it.id })
        assertEquals(emptyList(), ended)
        lost.onEntries(2_500, listOf(entry.copy(startedAtMs = 9)).associateBy { it.id })
        assertEquals(listOf(1L to WorkerEndSign.RESTARTED), ended)
    }

    @Test
    fun `a sign that comes too late counts no more`() {
        lose(1_000)
        lost.tick(11_001)
        lost.onRefused(11_002, entry)
        assertEquals(emptyList(), ended)
    }

    @Test
    fun `a worker that loses many requests is probed twice per second at most`() {
        (0L until 2_000).forEach { nowMs ->
            lose(nowMs)
            if (nowMs % 250 == 0L) lost.tick(nowMs)
            lost.onProbed(nowMs, entry, ProbeResult.ACCEPTED)
        }
        assertEquals(4, probed.size)
    }

    @Test
    fun `a worker that neither accepts nor refuses connections is probed a few times`() {
        lose(0)
        var answered = 0
        (0L..9_000 step 250).forEach { nowMs ->
            while (answered < probed.size) lost.onProbed(nowMs, entry, ProbeResult.UNKNOWN).also { answered++ }
            lost.tick(nowMs)
        }
        assertEquals(4, probed.size)
    }
}
