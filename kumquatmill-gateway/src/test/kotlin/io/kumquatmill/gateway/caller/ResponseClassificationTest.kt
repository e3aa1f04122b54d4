package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.gateway.http.ConnectionUse
import io.kumquatmill.traffic.control.AnswerDoubt
import io.kumquatmill.traffic.control.AttemptResult
import io.kumquatmill.traffic.control.StatedRateLimit
import io.kumquatmill.traffic.control.WorkerLoad
import io.undertow.util.HeaderMap
import io.undertow.util.HttpString
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** Responses of workers that may belong to another request, such as late copies of earlier responses on a connection in use again. */
class ResponseClassificationTest {
    private val names = HttpHeaderNames("id", "deadline", "affinity", "workspace", "expected", "load", "limit", "not-run", "proof")

    private fun classify(
        status: Int,
        headers: Map<String, String>,
        isConnectionReused: Boolean,
    ): AttemptResult {
        val headerMap = HeaderMap()
        headers.forEach { (name, value) -> headerMap.put(HttpString(name), value) }
        return classifyResponse(CallResult.Response(status, headerMap, ByteArray(0), isConnectionReused), "r-1", names)
    }

    /** Guards against the copy of an earlier refusal that is taken for the answer to the same request. */
    @Test
    fun `a refusal says nothing on a connection that had carried the request before`() {
        val headers = HeaderMap()
        mapOf("id" to "r-1", "not-run" to "full").forEach { (name, value) -> headers.add(HttpString(name), value) }

        fun classify(
            status: Int,
            isRepeat: Boolean,
        ) = classifyResponse(CallResult.Response(status, headers, ByteArray(0), true, ConnectionUse(1, 2, isRepeat)), "r-1", names)
        listOf(400, 421, 429, 503).forEach { status ->
            assertEquals(AnswerDoubt.REPEAT, assertIs<AttemptResult.Unknown>(classify(status, isRepeat = true)).doubt, "status $status")
            assertTrue(classify(status, isRepeat = false).isNotRun, "status $status")
        }
    }

    @Test
    fun `a response with the id of another request says nothing about this one`() {
        val headers = mapOf("id" to "r-0", "proof" to "p", "not-run" to "full")
        listOf(200, 421, 503, 500).forEach { status ->
            listOf(false, true).forEach { assertIs<AttemptResult.Unknown>(classify(status, headers, it), "status $status, reused $it") }
        }
    }

    /** Guards against an earlier refusal that a worker writes before its answer to an order that it runs. */
    @Test
    fun `a response without an id may belong to another request and says nothing on any connection`() {
        listOf(mapOf("not-run" to "full"), mapOf("proof" to "p"), emptyMap()).forEach { headers ->
            listOf(200, 400, 421, 429, 503, 500).forEach { status ->
                listOf(false, true).forEach { assertIs<AttemptResult.Unknown>(classify(status, headers, it), "status $status, reused $it") }
            }
        }
    }

    @Test
    fun `a response that names another request beside this one says nothing`() {
        val headers = HeaderMap().put(HttpString("id"), "r-1").add(HttpString("id"), "r-0").put(HttpString("not-run"), "full")
        assertIs<AttemptResult.Unknown>(classifyResponse(CallResult.Response(503, headers, ByteArray(0)), "r-1", names))
        val repeated = HeaderMap().put(HttpString("id"), "r-1").add(HttpString("id"), "r-1").put(HttpString("not-run"), "full")
        assertIs<AttemptResult.Shed>(classifyResponse(CallResult.Response(503, repeated, ByteArray(0)), "r-1", names))
    }

    @Test
    fun `a promise counts with its own statuses only, and never beside the proof of a worker`() {
        val promised = mapOf("id" to "r-1", "not-run" to "full")
        listOf(400, 429, 503).forEach { assertIs<AttemptResult.Shed>(classify(it, promised, isConnectionReused = true), "status $it") }
        assertEquals(AttemptResult.Misdirected, classify(421, promised, isConnectionReused = false))
        listOf(200, 204, 404, 500, 502, 504).forEach {
            assertIs<AttemptResult.Unknown>(classify(it, promised, isConnectionReused = false), "status $it")
        }
        listOf(200, 400, 421, 429, 500, 503).forEach {
            assertIs<AttemptResult.Unknown>(classify(it, promised + ("proof" to "p"), isConnectionReused = false), "status $it")
        }
    }

    /** Guards against an answer that is forwarded with a status that no server may send. */
    @Test
    fun `a response with a status that no server may send is not one answer`() {
        val headers = mapOf("id" to "r-1", "proof" to "p")
        listOf(0, 99, 100, 101, 102, 103, 199, 600, 700, 999, 1_000).forEach { status ->
            listOf(headers, headers + ("not-run" to "full")).forEach {
                val result = assertIs<AttemptResult.Unknown>(classify(status, it, isConnectionReused = false), "status $status")
                assertEquals(AnswerDoubt.FRAMING, result.doubt, "status $status")
            }
        }
    }

    @Test
    fun `a response with the proof of several says nothing`() {
        val headers = HeaderMap().put(HttpString("id"), "r-1").put(HttpString("proof"), "p").add(HttpString("proof"), "q")
        assertIs<AttemptResult.Unknown>(classifyResponse(CallResult.Response(200, headers, ByteArray(0)), "r-1", names))
    }

    @Test
    fun `only a worker's own statement says that a request has not run`() {
        val ran = mapOf("id" to "r-1", "proof" to "p")
        listOf(400, 408, 429, 500, 503, 504).forEach { status ->
            listOf(false, true).forEach { isReused ->
                assertIs<AttemptResult.Answered>(classify(status, ran, isReused), "status $status, reused $isReused")
            }
        }
        assertIs<AttemptResult.Unknown>(classify(421, ran, isConnectionReused = false))
        assertIs<AttemptResult.Answered>(classify(503, mapOf("id" to "r-1"), isConnectionReused = true))
        assertIs<AttemptResult.Shed>(classify(503, mapOf("id" to "r-1", "not-run" to "full"), isConnectionReused = true))
        assertEquals(AttemptResult.Misdirected, classify(421, mapOf("id" to "r-1"), isConnectionReused = true))
    }

    @Test
    fun `a success needs the id and the proof on any connection`() {
        listOf(false, true).forEach { isReused ->
            assertIs<AttemptResult.Answered>(classify(200, mapOf("id" to "r-1", "proof" to "p"), isReused))
            assertIs<AttemptResult.Unknown>(classify(200, mapOf("id" to "r-1"), isReused))
            assertIs<AttemptResult.Unknown>(classify(200, mapOf("proof" to "p"), isReused))
        }
    }

    private fun statedLoad(value: String): WorkerLoad? =
        assertIs<AttemptResult.Answered>(classify(200, mapOf("id" to "r-1", "proof" to "p", "load" to value), false)).load

    @Test
    fun `a load is at least three numbers that are not negative`() {
        assertEquals(WorkerLoad(3, 0, 8), statedLoad("3,0,8"))
        assertEquals(WorkerLoad(3, 0, 0), statedLoad(" 3, 0 ,0"))
        listOf("", "3", "3,0", ",,", "x,y,z,", "x,y,z,0").forEach { assertEquals(null, statedLoad(it), "load '$it'") }
    }

    /** Guards against a load that is lost as a whole because a worker reports more values, or one of them is damaged. */
    @Test
    fun `a value of a load that is not valid does not affect the others`() {
        mapOf(
            "3,0,8,250" to WorkerLoad(3, 0, 8, 250),
            "3,0,8, 99.6 ,7,x" to WorkerLoad(3, 0, 8, 100),
            "3,0,8,0.2" to WorkerLoad(3, 0, 8, 1),
            "3,0,8,10000" to WorkerLoad(3, 0, 8, 10_000),
            "-3,0,8" to WorkerLoad(null, 0, 8),
            "3,-1,8" to WorkerLoad(3, null, 8),
            "3,0,-8" to WorkerLoad(3, 0, null),
            "x,0,8" to WorkerLoad(null, 0, 8),
            "3.5,0,8" to WorkerLoad(null, 0, 8),
            "99999999999,0,8,120" to WorkerLoad(null, 0, 8, 120),
            ",,,120" to WorkerLoad(null, null, null, 120),
        ).forEach { (value, load) -> assertEquals(load, statedLoad(value), "load '$value'") }
        listOf("0", "-1", "10001", "1e9", "NaN", "", "x", "1".repeat(60_000)).forEach {
            assertEquals(WorkerLoad(3, 0, 8), statedLoad("3,0,8,$it"), "fourth value '${it.take(20)}'")
        }
    }

    private fun statedLimit(vararg values: String): StatedRateLimit {
        val headers = HeaderMap().put(HttpString("id"), "r-1").put(HttpString("proof"), "p")
        values.forEach { headers.add(HttpString("limit"), it) }
        return classifyResponse(CallResult.Response(200, headers, ByteArray(0)), "r-1", names).rateLimit
    }

    @Test
    fun `a rate limit is a decimal number of requests per second, the lowest of several`() {
        assertEquals(StatedRateLimit.None, statedLimit())
        mapOf("5.1" to 5.1, "0" to 0.0, " 12 " to 12.0, ".5" to 0.5, "3." to 3.0, "1e-3" to 0.001).forEach { (text, perS) ->
            assertEquals(StatedRateLimit.Named(perS), statedLimit(text), "for '$text'")
        }
        assertEquals(StatedRateLimit.Named(2.0), statedLimit("7", "2", "many"))
    }

    @Test
    fun `a rate limit beyond any worker is capped`() {
        listOf("99999999999999999999", "1e999", "1000000.5").forEach { assertEquals(StatedRateLimit.Named(1_000_000.0), statedLimit(it)) }
    }

    @Test
    fun `a malformed, negative or overlong rate limit is invalid`() {
        val invalid = listOf("", "-3", "+3", "NaN", "Infinity", "0x10", "5d", "5,1", "5 per s", "1e9999", ".", "1".repeat(60_000) + "x")
        invalid.forEach { assertEquals(StatedRateLimit.Invalid, statedLimit(it), "for '${it.take(20)}'") }
    }

    @Test
    fun `a response that cannot be trusted states no rate limit`() {
        val headers = mapOf("id" to "r-0", "proof" to "p", "limit" to "1")
        assertEquals(StatedRateLimit.None, classify(200, headers, isConnectionReused = true).rateLimit)
        assertEquals(StatedRateLimit.None, classify(421, headers + ("id" to "r-1"), isConnectionReused = false).rateLimit)
    }
}
