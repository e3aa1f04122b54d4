package io.kumquatmill.gateway.relay

import io.kumquatmill.gateway.http.CallResult
import io.kumquatmill.traffic.control.AnswerDoubt
import io.kumquatmill.traffic.control.AttemptResult
import io.undertow.util.HeaderMap
import io.undertow.util.HttpString
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** What a host concludes from a peer's word on a request that the peer was to pass on. */
class RelayedCallTest {
    private val shed = AttemptResult.Shed(load = null)
    private val answered = AttemptResult.Answered(200, load = null)

    private fun call(vararg headers: Pair<String, String>): RelayedCall {
        val map = HeaderMap()
        headers.forEach { (name, value) -> map.add(HttpString(name), value) }
        return RelayedCall.of(CallResult.Response(503, map, ByteArray(0)), "r-1", "Id")
    }

    private fun ended(call: RelayedCall): AttemptResult = assertIs<RelayedCall.Ended>(call).result

    /** Guards against orders that run twice because a host of an earlier build, which joins answers, passes a refusal on. */
    @Test
    fun `a refusal that a peer of an earlier build passes on says nothing`() {
        val earlier = assertIs<RelayedCall.Response>(call(RelayHeaders.RESULT to "response", "Id" to "r-1"))
        assertIs<AttemptResult.Unknown>(earlier.believed(shed))
        assertIs<AttemptResult.Unknown>(earlier.believed(AttemptResult.Misdirected))
        assertEquals(answered, earlier.believed(answered))
        val checked = RelayHeaders.FRAMING to RelayHeaders.FRAMING_CHECKED
        val first = RelayHeaders.REPEAT to RelayHeaders.REPEAT_NO
        val current = assertIs<RelayedCall.Response>(call(RelayHeaders.RESULT to "response-reused", checked, first, "Id" to "r-1"))
        assertEquals(shed, current.believed(shed))
        assertTrue(current.response.headers.none { it.headerName.toString().startsWith("Kumquatmill") })
    }

    /** Guards against the copy of an earlier refusal on the connection of a peer that may carry a request twice. */
    @Test
    fun `a refusal that a peer got on a kept connection counts only if the connection had not carried the request`() {
        val checked = RelayHeaders.FRAMING to RelayHeaders.FRAMING_CHECKED
        val kept = assertIs<RelayedCall.Response>(call(RelayHeaders.RESULT to "response-reused", checked, "Id" to "r-1"))
        listOf(shed, AttemptResult.Misdirected).forEach { assertIs<AttemptResult.Unknown>(kept.believed(it)) }
        assertEquals(answered, kept.believed(answered))
        val new = assertIs<RelayedCall.Response>(call(RelayHeaders.RESULT to "response", checked, "Id" to "r-1"))
        assertEquals(shed, new.believed(shed))
    }

    /** Guards against an answer of a peer whose bytes are not one response, such as one with a status that no server may send. */
    @Test
    fun `an answer of a peer that breaks the framing is doubted`() =
        listOf(true to AnswerDoubt.FRAMING, false to null).forEach { (isMalformed, doubt) ->
            val result = RelayedCall.of(CallResult.Incomplete("broken", isMalformed = isMalformed), "r-1", "Id")
            assertEquals(doubt, assertIs<AttemptResult.Unknown>(ended(result)).doubt)
        }

    @Test
    fun `a peer's word that it has not sent a request counts only for the request that it names`() {
        listOf("refused", "unreachable").forEach { result ->
            assertTrue(ended(call(RelayHeaders.RESULT to result, "Id" to "r-1")).isNotRun, result)
            assertTrue(ended(call(RelayHeaders.RESULT to result)).isNotRun, "$result by an earlier build")
            assertIs<AttemptResult.Unknown>(ended(call(RelayHeaders.RESULT to result, "Id" to "r-0")), result)
            assertIs<AttemptResult.Unknown>(ended(call(RelayHeaders.RESULT to result, "Id" to "r-1", "Id" to "r-0")), result)
        }
        listOf("incomplete", "something", "Refused").forEach { result ->
            assertIs<AttemptResult.Unknown>(ended(call(RelayHeaders.RESULT to result, "Id" to "r-1")), result)
        }
        assertIs<AttemptResult.Unknown>(ended(call("Id" to "r-1")))
    }
}
