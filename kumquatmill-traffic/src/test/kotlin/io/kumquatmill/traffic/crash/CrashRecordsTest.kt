package io.kumquatmill.traffic.crash

import io.kumquatmill.traffic.fleet.WorkerTag
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

class CrashRecordsTest {
    private val settings = CrashSettings(maxRecords = 20, maxReported = 8)
    private val events = ArrayList<CrashEvent>()
    private val records = CrashRecords("h1", settings) { events += it }
    private val crashing = RequestFingerprint(1)
    private val proper = RequestFingerprint(2)

    private fun CrashRecords.crash(
        atMs: Long,
        worker: Int,
        fingerprint: RequestFingerprint = crashing,
        leadMs: Long = 50,
    ) = onCrash(atMs, fingerprint, CrashRecord.Crash(WorkerTag(worker), atMs, leadMs, isOwn = true))

    private fun CrashRecords.isQuarantined(
        nowMs: Long,
        fingerprint: RequestFingerprint = crashing,
    ) = quarantinedForMs(nowMs, fingerprint) != null

    private fun peer(name: String) = CrashRecords(name, settings) { }

    @Test
    fun `a request is quarantined after three different workers have ended under it`() {
        records.crash(1_000, worker = 1)
        records.crash(2_000, worker = 2)
        records.crash(2_500, worker = 2)
        assertFalse(records.isQuarantined(2_500))
        records.crash(3_000, worker = 3)
        assertTrue(records.isQuarantined(3_000))
        assertEquals(CrashEvent.QuarantineChanged(crashing, true, "h1", crashes = 3, ageMs = 0), events.single())
        assertEquals(1, records.quarantinedCount)
    }

    @Test
    fun `workers that end at the same moment count as one`() {
        (1..10).forEach { records.crash(1_000L + it, worker = it) }
        assertEquals(1, records.crashCount(crashing))
    }

    @Test
    fun `crashes that different hosts saw count together, whatever reports get lost or are repeated`() {
        val peers = (1..3).map { peer("p$it") }
        peers.forEachIndexed { index, peer -> peer.crash(1_000L * (index + 1), worker = index) }
        repeat(2) { peers.forEach { records.onReport(3_100, "p", it.report(3_050)) } }
        assertTrue(records.isQuarantined(3_100))
        val startedLater = peer("p4")
        startedLater.onReport(60_050, "h1", records.report(60_000))
        assertTrue(startedLater.isQuarantined(60_050))
    }

    @Test
    fun `a response to the request voids its crashes and ends its quarantine at all hosts`() {
        val peer = peer("p1")
        (1..3).forEach { peer.crash(1_000L * it, worker = it) }
        records.onReport(3_100, "p1", peer.report(3_050))
        records.onCompleted(3_200, crashing)
        assertFalse(records.isQuarantined(3_200))
        peer.onReport(3_300, "h1", records.report(3_250))
        assertFalse(peer.isQuarantined(3_300))
        // A peer that was cut off for long tells of them again, and is told in turn.
        val cutOff = peer("p2").apply { (1..3).forEach { crash(1_000L * it, worker = it) } }
        records.onReport(100_000, "p2", cutOff.report(99_950))
        assertFalse(records.isQuarantined(100_000))
        cutOff.onReport(100_500, "h1", records.report(100_450))
        assertFalse(cutOff.isQuarantined(100_500))
    }

    @Test
    fun `a proper request that was at the same workers is not quarantined, whichever host knows what`() {
        val peer = peer("p1")
        (1..3).forEach {
            records.crash(1_000L * it, worker = it, leadMs = 60)
            peer.crash(1_000L * it, worker = it, proper, leadMs = 200)
        }
        assertTrue(peer.isQuarantined(3_000, proper), "the peer does not know the other request yet")
        val told = peer.report(3_050)
        peer.onReport(3_100, "h1", records.report(3_050))
        records.onReport(3_100, "p1", told)
        listOf(records, peer).forEach { host ->
            assertEquals(listOf(true, false), listOf(crashing, proper).map { host.isQuarantined(3_100, it) })
        }
    }

    @Test
    fun `a request that was taken for the cause of others' crashes is cleared by the next crash of the real one`() {
        (1..3).forEach {
            records.crash(1_000L * it, worker = it, proper, leadMs = 10)
            records.crash(1_000L * it, worker = it, leadMs = 60)
        }
        assertEquals(listOf(false, true), listOf(crashing, proper).map { records.isQuarantined(3_000, it) })
        records.crash(4_000, worker = 4)
        assertEquals(listOf(true, false), listOf(crashing, proper).map { records.isQuarantined(4_000, it) })
    }

    @Test
    fun `crashes count for a day`() {
        (1..3).forEach { records.crash(1_000L * it, worker = it) }
        val dayMs = 24 * 60 * 60 * 1_000L
        assertEquals(dayMs - 2_000, records.quarantinedForMs(3_000, crashing))
        records.expire(1_000 + dayMs)
        assertTrue(records.isQuarantined(1_000 + dayMs))
        records.expire(1_001 + dayMs)
        assertFalse(records.isQuarantined(1_001 + dayMs))
        assertEquals(0, records.quarantinedCount)
        records.crash(1_002 + dayMs, worker = 9)
        assertTrue(records.isQuarantined(1_002 + dayMs), "the two later crashes still count")
    }

    @Test
    fun `a caller that varies its requests displaces no quarantined one`() {
        (1..3).forEach { records.crash(1_000L * it, worker = it) }
        (100..500).forEach { records.crash(4_000L + it, worker = it, RequestFingerprint(it.toLong())) }
        assertTrue(records.isQuarantined(5_000))
        assertEquals(0, records.crashCount(RequestFingerprint(100)))
    }

    @Test
    fun `a report is bounded, and reports in turn tell everything`() {
        (0 until 18).forEach { records.crash(1_000L * it, worker = it, RequestFingerprint(it.toLong())) }
        val reports = (1..40).map { records.report(100_000) }
        assertTrue(reports.all { it.crashes.size <= settings.maxReported })
        assertEquals(
            18,
            reports
                .flatMap { it.crashes }
                .map { it.fingerprint }
                .toSet()
                .size,
        )
    }

    @Test
    fun `a request that no worker has ended under is not remembered`() {
        records.onCompleted(1_000, proper)
        assertEquals(CrashReport(), records.report(1_000))
        assertNull(records.quarantinedForMs(1_000, proper))
    }
}
