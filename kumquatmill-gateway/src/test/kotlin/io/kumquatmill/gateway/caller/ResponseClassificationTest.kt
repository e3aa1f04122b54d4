package io.kumquatmill.gateway.caller

import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.traffic.control.AttemptResult
import io.undertow.util.HeaderMap
import io.undertow.util.HttpString
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Responses of workers that may belong to another request, such as late copies of earlier responses on a connection in use again. */
class ResponseClassificationTest {
    private val names = HttpHeaderNames("id", "deadline", "affinity", "workspace", "expected", "load", "not-run", "proof")

    private fun classify(
        status: Int,
        headers: Map<String, String>,
        isConnectionReused: Boolean,
    ): AttemptResult {
        val headerMap = HeaderMap()
        headers.forEach { (name, value) -> headerMap.put(HttpString(name), value) }
        return classifyResponse(CallResult.Response(status, headerMap, ByteArray(0), isConnectionReused), "r-1", names)
    }

    @Test
    fun `a response with the id of another request says nothing about this one`() {
        val headers = mapOf("id" to "r-0", "proof" to "p", "not-run" to "full")
        listOf(200, 421, 503, 500).forEach { status ->
            listOf(false, true).forEach { assertIs<AttemptResult.Unknown>(classify(status, headers, it), "status $status, reused $it") }
        }
    }

    @Test
    fun `a response without an id on a reused connection may be a late copy and says nothing`() {
        val headers = mapOf("proof" to "p", "not-run" to "full")
        listOf(200, 421, 503, 500).forEach { status ->
            assertIs<AttemptResult.Unknown>(classify(status, headers, isConnectionReused = true), "status $status")
        }
    }

    @Test
    fun `a worker that rejects a request on a new connection before it has read the id is believed`() {
        assertEquals(AttemptResult.Misdirected, classify(421, emptyMap(), isConnectionReused = false))
        assertIs<AttemptResult.Shed>(classify(503, mapOf("not-run" to "full"), isConnectionReused = false))
    }

    @Test
    fun `a success needs the id and the proof on any connection`() {
        listOf(false, true).forEach { isReused ->
            assertIs<AttemptResult.Answered>(classify(200, mapOf("id" to "r-1", "proof" to "p"), isReused))
            assertIs<AttemptResult.Unknown>(classify(200, mapOf("id" to "r-1"), isReused))
            assertIs<AttemptResult.Unknown>(classify(200, mapOf("proof" to "p"), isReused))
        }
    }
}
