package io.kumquatmill.gateway.caller

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Guards against a request that is started early although the server, or a worker, would read its head in another way. */
class PipelinedHeadParserTest {
    private fun parse(
        text: String,
        from: Int = 0,
    ) = text.toByteArray(Charsets.ISO_8859_1).let { PipelinedHeadParser.parse(it, from, it.size) }

    private fun head(vararg lines: String) = lines.joinToString("") { "$it\r\n" } + "\r\n"

    @Test
    fun `complete heads are found one behind the other`() {
        val first = head("GET /a/1?x=%20y HTTP/1.1", "Host: h", "X-N: some words", "x-n:2")
        val second = head("HEAD /b HTTP/1.1", "host: h")
        val found = assertIs<PipelinedHead.Complete>(parse(first + second))
        assertEquals(first.length, found.sizeBytes)
        assertEquals(listOf("GET", "/a/1?x=%20y", "/a/1", "h"), found.head.run { listOf(method, target, path, host) })
        assertEquals(listOf("some words", "2"), found.head.headers["X-N"].toList())
        assertEquals("/b", assertIs<PipelinedHead.Complete>(parse(first + second, found.sizeBytes)).head.target)
        second.indices.forEach { assertEquals(PipelinedHead.Partial, parse(second.take(it)), "first $it bytes") }
    }

    @Test
    fun `a head that announces a body or that parsers may read differently is unusual`() {
        val line = "GET /a HTTP/1.1"
        val unusual =
            listOf(
                "POST /a HTTP/1.1",
                "GET  /a HTTP/1.1",
                "GET /a HTTP/1.0",
                "GET http://h/a HTTP/1.1",
                "GET /a;x HTTP/1.1",
                "GET /a? HTTP/1.1",
                "GET /a/% HTTP/1.1",
                "GET /a/%2 HTTP/1.1",
                "GET /a/%2x?y HTTP/1.1",
                "GET /a?x=%zz HTTP/1.1",
                "GET /a?${"x&".repeat(101)} HTTP/1.1",
            ).map { head(it, "Host: h") } +
                listOf(
                    "Content-Length: 0",
                    "Transfer-Encoding: chunked",
                    "Connection: close",
                    "Connection: x-n",
                    "Upgrade: h2c",
                    "Expect: 100-continue",
                    "Host: other",
                    "X-N : 1",
                    "X-N: 1 ",
                    "X-N: 1  2",
                    "X-N:\t1",
                    " folded",
                    "no header",
                    "X-N: 1\nX-M: 2",
                    "X-N: 1\rX-M: 2",
                    "X-N: \u0000",
                    "X-N: GET /b HTTP/1.1",
                ).map { head(line, "Host: h", it) } + head(line) + head("", line, "Host: h")
        unusual.forEach { assertIs<PipelinedHead.Unusual>(parse(it), it) }
        assertIs<PipelinedHead.Unusual>(parse("x"), "decided by the first byte")
    }

    /** Guards against searching all bytes of a head again whenever a few more of it arrive. */
    @Test
    fun `the end of a head is searched from where the last search ended`() {
        val text = head("GET /a HTTP/1.1", "Host: h")
        val bytes = text.toByteArray()
        bytes.indices.forEach { to ->
            val searchFrom = PipelinedHeadParser.nextSearchFrom(0, to)
            assertIs<PipelinedHead.Complete>(PipelinedHeadParser.parse(bytes, 0, bytes.size, searchFrom), "continued after $to bytes")
        }
        assertEquals(PipelinedHead.Partial, PipelinedHeadParser.parse(bytes, 0, bytes.size, searchFrom = bytes.size - 3))
    }

    @Test
    fun `heads are the same only with the same method, target and headers`() {
        fun headOf(vararg lines: String) = assertIs<PipelinedHead.Complete>(parse(head(*lines))).head
        val head = headOf("GET /a HTTP/1.1", "Host: h", "Request-Id: 1")
        assertEquals(true, head.isSameAs(headOf("GET /a HTTP/1.1", "request-id: 1", "Host: h")))
        listOf(
            headOf("GET /b HTTP/1.1", "Host: h", "Request-Id: 1"),
            headOf("HEAD /a HTTP/1.1", "Host: h", "Request-Id: 1"),
            headOf("GET /a HTTP/1.1", "Host: h", "Request-Id: 2"),
            headOf("GET /a HTTP/1.1", "Host: h", "Request-Id: 1", "X-N: 1"),
            headOf("GET /a HTTP/1.1", "Host: h", "Request-Id: 1", "Request-Id: 1"),
        ).forEach { assertEquals(false, head.isSameAs(it)) }
    }
}
