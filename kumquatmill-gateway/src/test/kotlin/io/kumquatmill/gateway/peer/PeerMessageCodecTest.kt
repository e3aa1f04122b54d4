package io.kumquatmill.gateway.peer

import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.traffic.crash.CrashReport
import io.kumquatmill.traffic.crash.RequestFingerprint
import io.kumquatmill.traffic.fleet.EntryHostInfo
import io.kumquatmill.traffic.fleet.PeerReport
import io.kumquatmill.traffic.fleet.SharedLoad
import io.kumquatmill.traffic.fleet.WorkerLimitObservation
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.fleet.WorkspaceTag
import io.kumquatmill.traffic.ratelimit.LoanGrant
import io.kumquatmill.traffic.ratelimit.LoanRequest
import kotlinx.serialization.json.Json
import java.util.HexFormat
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

class PeerMessageCodecTest {
    private val alpha = WorkspaceTag.of(WorkspaceId("alpha"))
    private val leavingKey = byteArrayOf(0x61, 'e'.code.toByte(), 0xBF.toByte())
    private val loadsKey = byteArrayOf(0x61, 'u'.code.toByte(), 0xBF.toByte())
    private val beta = WorkspaceTag.of(WorkspaceId("beta"))

    private fun report(workspaces: Int = 2) =
        PeerReport(
            host = "front-east-a-1",
            incarnation = 1_765_000_000_000,
            sequence = 77,
            ip = "10.1.0.7",
            region = "east",
            availabilityZone = "east-a",
            storeRevision = 4_711,
            isServing = true,
            version = 12,
            demandPerS = (1..workspaces).associate { WorkspaceTag.of(WorkspaceId("workspace-$it")) to it / 10.0 },
            sharesPerMille = emptyMap(),
            stalePeers = listOf("front-west-a-2"),
        )

    @Test
    fun `a report is decoded as it was sent, with demands and shares of different workspaces`() {
        val sent = report().copy(demandPerS = mapOf(alpha to 12.3), sharesPerMille = mapOf(alpha to 250, beta to 0))
        assertEquals(sent, PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage(report = sent))).report)
    }

    @Test
    fun `workers' rate limits are decoded as they were sent, also from a host that sends none`() {
        val limits =
            mapOf(
                WorkerTag(7) to WorkerLimitObservation(2.5, 120),
                WorkerTag(-8) to WorkerLimitObservation(null, 0),
                WorkerTag(9) to WorkerLimitObservation(1_000_000.0, Int.MAX_VALUE.toLong()),
            )
        listOf(limits, emptyMap()).forEach {
            val sent = report().copy(workerLimits = it)
            assertEquals(sent, PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage(report = sent))).report)
        }
    }

    @Test
    fun `a report with a negative rate limit or age of a worker is malformed`() {
        val sent = report(0).copy(workerLimits = mapOf(WorkerTag(7) to WorkerLimitObservation(0.005, 6)))
        val bytes = PeerMessageCodec.encode(PeerMessage(report = sent))
        listOf(byteArrayOf(0x9F.toByte(), 5, 0xFF.toByte()) to 0x21, byteArrayOf(0x9F.toByte(), 6, 0xFF.toByte()) to 0x20)
            .forEach { (column, negative) ->
                val at = indexOf(bytes, column)
                assertTrue(at > 0, "expected the column in the encoded report")
                val changed = bytes.copyOf().also { it[at + 1] = negative.toByte() }
                assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(changed) }
            }
    }

    @Test
    fun `whether a host reaches workers is decoded as it was sent, also if it never has`() =
        listOf(report().copy(workerReachAgeMs = 40), report().copy(workerReachAgeMs = null, isCutOff = true)).forEach { sent ->
            assertEquals(sent, PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage(report = sent))).report)
        }

    @Test
    fun `a report with a negative time since a worker responded is malformed`() {
        val bytes = PeerMessageCodec.encode(PeerMessage(report = report(0).copy(workerReachAgeMs = -1)))
        assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(bytes) }
    }

    @Test
    fun `workers that leave are decoded as they were sent, also from a host that tells of none`() =
        listOf(mapOf(WorkerTag(7) to 0L, WorkerTag(-8) to 10_000L), emptyMap()).forEach {
            val sent = report().copy(leavingWorkers = it)
            assertEquals(sent, PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage(report = sent))).report)
        }

    @Test
    fun `a worker that leaves adds at most ten bytes to a report, and a report without one is that of an earlier build`() {
        val empty = PeerMessageCodec.encode(PeerMessage(report = report()))
        val full = report().copy(leavingWorkers = (1..64).associate { WorkerTag(Int.MIN_VALUE + it) to 9_999L })
        val size = PeerMessageCodec.encode(PeerMessage(report = full)).size
        assertTrue(size - empty.size <= 64 * 10, "expected at most 640 bytes for 64 workers, found ${size - empty.size}")
        assertEquals(-1, indexOf(empty, leavingKey), "a field that an earlier build does not send")
    }

    @Test
    fun `a build that does not know the field of workers that leave reads the rest of the report`() {
        val bytes = PeerMessageCodec.encode(PeerMessage(report = report().copy(leavingWorkers = mapOf(WorkerTag(7) to 5L))))
        val at = indexOf(bytes, leavingKey)
        assertTrue(at > 0, "expected the field in the encoded report")
        val unknownKey = bytes.copyOf().also { it[at + 1] = 'q'.code.toByte() }
        assertEquals(report(), PeerMessageCodec.decode(unknownKey).report)
    }

    @Test
    fun `a report with a negative age of a worker that leaves, or with more tags than ages, is malformed`() {
        val bytes = PeerMessageCodec.encode(PeerMessage(report = report(0).copy(leavingWorkers = mapOf(WorkerTag(7) to 6L))))
        val at = indexOf(bytes, byteArrayOf(0x9F.toByte(), 6, 0xFF.toByte()))
        assertTrue(at > 0, "expected the column in the encoded report")
        val isNegative = bytes.copyOf().also { it[at + 1] = 0x20 }
        val isShorter = bytes.copyOfRange(0, at + 1) + bytes.copyOfRange(at + 2, bytes.size)
        listOf(isNegative, isShorter).forEach { assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(it) } }
    }

    @Test
    fun `the capacity of a host is decoded as it was sent, and a report without one is that of an earlier build`() {
        val sent = report().copy(cores = 1.5, linkMbps = 140.0, memoryMb = 682.0)
        val bytes = PeerMessageCodec.encode(PeerMessage(report = sent))
        assertEquals(sent, PeerMessageCodec.decode(bytes).report)
        val added = bytes.size - PeerMessageCodec.encode(PeerMessage(report = report())).size
        assertEquals(3 * 11, added, "expected only the three fields in addition")
        val record = Json.encodeToString(EntryHostInfo.serializer(), report().sender)
        assertEquals("""{"host":"front-east-a-1","ip":"10.1.0.7","region":"east","availabilityZone":"east-a"}""", record)
        assertEquals(report().sender, Json.decodeFromString(EntryHostInfo.serializer(), record))
    }

    @Test
    fun `loads of workers are decoded as they were sent, and add at most ten bytes each`() {
        val empty = PeerMessageCodec.encode(PeerMessage(report = report()))
        assertEquals(-1, indexOf(empty, loadsKey), "a field that an earlier build does not send")
        listOf(SharedLoad(90, 1_000), SharedLoad(0, 0), SharedLoad(Int.MAX_VALUE, Int.MAX_VALUE * 4L)).forEach { load ->
            val sent = report().copy(workerLoads = (1..16).associate { WorkerTag(Int.MIN_VALUE + it) to load })
            val bytes = PeerMessageCodec.encode(PeerMessage(report = sent))
            assertEquals(sent, PeerMessageCodec.decode(bytes).report)
            if (load.requests == 90) assertTrue(bytes.size - empty.size <= 160, "found ${bytes.size - empty.size} bytes for 16 workers")
        }
    }

    @Test
    fun `a report with a negative load or age of a worker, or with columns that differ in length, is malformed`() {
        val sent = report(0).copy(workerLoads = mapOf(WorkerTag(7) to SharedLoad(9, 24)))
        val bytes = PeerMessageCodec.encode(PeerMessage(report = sent))
        listOf<Byte>(9, 6).forEach { number ->
            val at = indexOf(bytes, byteArrayOf(0x9F.toByte(), number, 0xFF.toByte()))
            assertTrue(at > 0, "expected the column in the encoded report")
            val isNegative = bytes.copyOf().also { it[at + 1] = 0x20 }
            val isShorter = bytes.copyOfRange(0, at + 1) + bytes.copyOfRange(at + 2, bytes.size)
            listOf(isNegative, isShorter).forEach { assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(it) } }
        }
        val at = indexOf(bytes, loadsKey)
        val unknownKey = bytes.copyOf().also { it[at + 1] = '?'.code.toByte() }
        assertEquals(report(0), PeerMessageCodec.decode(unknownKey).report, "as an earlier build reads it")
    }

    /** Guards against a change of the encoding of the columns that hosts with another build would not read. */
    @Test
    fun `rate limits, departures and loads of workers are encoded as in earlier builds`() {
        val sent =
            report(0).copy(
                workerLimits = mapOf(WorkerTag(7) to WorkerLimitObservation(2.5, 120), WorkerTag(-8) to WorkerLimitObservation(null, 0)),
                leavingWorkers = mapOf(WorkerTag(7) to 0L, WorkerTag(-9) to 10_000L),
                workerLoads = mapOf(WorkerTag(7) to SharedLoad(90, 1_000), WorkerTag(-10) to SharedLoad(0, 4)),
            )
        val limits = "616cbf61749f0727ff616c9f1909c420ff61619f187800ffff"
        val leaving = "6165bf61749f0728ff61619f00192710ffff"
        val loads = "6175bf61749f0729ff61719f185a00ff61619f18fa01ffffffff"
        val head =
            "bf6172bf61686e66726f6e742d656173742d612d3161691b0000019af232b200616e184d61616831302e312e302e37617264" +
                "65617374617a66656173742d6161761912676173f56177bf61749fff61649fff61719fffff61709f6e66726f6e742d776573742d612d32ff61640c"
        assertEquals(head + limits + leaving + loads, HexFormat.of().formatHex(PeerMessageCodec.encode(PeerMessage(report = sent))))
    }

    private fun crashReport(crashes: Int = 2) =
        CrashReport(
            crashes = (1..crashes).map { CrashReport.Crash(RequestFingerprint(Long.MIN_VALUE + it), WorkerTag(-it), 86_400_000, 90) },
            completions = listOf(CrashReport.Completion(RequestFingerprint(Long.MAX_VALUE), 0)),
        )

    @Test
    fun `crashes and completions are decoded as they were sent`() {
        val sent = report().copy(crashes = crashReport())
        assertEquals(sent, PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage(report = sent))).report)
    }

    @Test
    fun `a crash adds at most 24 bytes to a report`() {
        val empty = PeerMessageCodec.encode(PeerMessage(report = report().copy(crashes = crashReport(0)))).size
        val full = PeerMessageCodec.encode(PeerMessage(report = report().copy(crashes = crashReport(64)))).size
        assertTrue(full - empty <= 64 * 24, "expected at most 1,536 bytes for 64 crashes, found ${full - empty}")
    }

    @Test
    fun `a report with a negative age or lead of a crash, or with columns that differ in length, is malformed`() {
        val crash = CrashReport.Crash(RequestFingerprint(1), WorkerTag(2), ageMs = 7, leadMs = 9)
        val bytes = PeerMessageCodec.encode(PeerMessage(report = report(0).copy(crashes = CrashReport(listOf(crash)))))
        listOf<Byte>(7, 9).forEach { time ->
            val at = indexOf(bytes, byteArrayOf(0x9F.toByte(), time, 0xFF.toByte()))
            assertTrue(at > 0, "expected the column in the encoded report")
            val isNegative = bytes.copyOf().also { it[at + 1] = 0x20 }
            val isShorter = bytes.copyOfRange(0, at + 1) + bytes.copyOfRange(at + 2, bytes.size)
            listOf(isNegative, isShorter).forEach { assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(it) } }
        }
    }

    @Test
    fun `loan requests and grants are decoded as they were sent`() {
        val request = LoanRequest("h1", "10.1.0.7", "h2", "alpha", 3.0, 9)
        val grant = LoanGrant("h2", "alpha", 2.0, 9)
        assertEquals(request, PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage(loanRequest = request))).loanRequest)
        assertEquals(grant, PeerMessageCodec.decode(PeerMessageCodec.encode(PeerMessage(grant = grant))).grant)
    }

    @Test
    fun `a workspace adds at most ten bytes to a report`() {
        val empty = PeerMessageCodec.encode(PeerMessage(report = report(0))).size
        val full = PeerMessageCodec.encode(PeerMessage(report = report(90))).size
        assertTrue(full - empty <= 90 * 10, "expected at most 900 bytes for 90 workspaces, found ${full - empty}")
    }

    @Test
    fun `a report whose lists differ in length or hold negative numbers is malformed`() {
        val bytes = PeerMessageCodec.encode(PeerMessage(report = report()))
        val demands = byteArrayOf(0x9F.toByte(), 1, 2, 0xFF.toByte())
        val at = indexOf(bytes, demands)
        assertTrue(at > 0, "expected the demands 1 and 2 in the encoded report")
        val isShorter = bytes.copyOfRange(0, at + 2) + bytes.copyOfRange(at + 3, bytes.size)
        val isNegative = bytes.copyOf().also { it[at + 1] = 0x25 }
        assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(isShorter) }
        assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(isNegative) }
    }

    @Test
    fun `a loan of a number of tokens that is not finite is malformed`() {
        val one = byteArrayOf(0xFB.toByte(), 0x3F, 0xF0.toByte(), 0, 0, 0, 0, 0, 0)
        val notFinite =
            listOf(byteArrayOf(0x7F, 0xF8.toByte()), byteArrayOf(0x7F, 0xF0.toByte()), byteArrayOf(0xBF.toByte(), 0xF0.toByte()))
        val messages =
            listOf(
                PeerMessage(loanRequest = LoanRequest("h1", "10.1.0.7", "h2", "alpha", 1.0, 9)),
                PeerMessage(grant = LoanGrant("h2", "alpha", 1.0, 9)),
            )
        messages.map(PeerMessageCodec::encode).forEach { bytes ->
            val at = indexOf(bytes, one)
            assertTrue(at > 0, "expected one token in the encoded message")
            notFinite.forEach { head ->
                val changed = bytes.copyOf().also { head.copyInto(it, at + 1) }
                assertFailsWith<MalformedPeerMessageException> { PeerMessageCodec.decode(changed) }
            }
        }
    }

    @Test
    fun `any other datagram is malformed, whatever its bytes are`() {
        val random = Random(5)
        val valid = PeerMessageCodec.encode(PeerMessage(report = report(40)))
        val deeplyNested = ByteArray(32 * 1024) { 0x81.toByte() }
        val unknownFieldDeeplyNested = byteArrayOf(0xBF.toByte(), 0x61, 'x'.code.toByte()) + deeplyNested
        val hugeLength = byteArrayOf(0xBF.toByte(), 0x61, 'x'.code.toByte(), 0x5A, 0x7F, -1, -1, -1)
        val datagrams =
            listOf(ByteArray(0), "{\"report\":null}".toByteArray(), deeplyNested, unknownFieldDeeplyNested, hugeLength) +
                List(2_000) { random.nextBytes(random.nextInt(1, 300)) } +
                List(2_000) { valid.copyOf(random.nextInt(valid.size)) } +
                List(2_000) { valid.copyOf().also { bytes -> repeat(3) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() } } }
        val outcomes =
            datagrams.map { bytes ->
                try {
                    PeerMessageCodec.decode(bytes)
                    "decoded"
                } catch (_: MalformedPeerMessageException) {
                    "malformed"
                }
            }
        assertEquals(setOf("decoded", "malformed"), outcomes.toSet())
        assertEquals(List(5) { "malformed" }, outcomes.take(5))
    }

    private fun indexOf(
        bytes: ByteArray,
        part: ByteArray,
    ): Int = (0..bytes.size - part.size).firstOrNull { at -> part.indices.all { bytes[at + it] == part[it] } } ?: -1
}
