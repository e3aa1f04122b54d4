package io.kumquatmill.common.http

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull

class ResponseHeadRulesTest {
    @Test
    fun `a status line has a version, three digits and a reason phrase, which may be empty or absent`() {
        listOf("HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200 Fine: thanks").forEach {
            assertEquals(200, ResponseHeadRules.statusOf(it), it)
        }
        listOf(
            "",
            "HTTP/2 200",
            "HTTP/1.1 20",
            "HTTP/1.1 2000 OK",
            "HTTP/1.1 099 No",
            "HTTP/1.1 000 No",
            "HTTP/1.1 600 No",
            "HTTP/1.1 999 No",
            "HTTP/1.1 200OK",
            "HTTP/1.1 200\tOK",
            "HTTP/1.1 +20 OK",
            "HTTP/1.1 2e2 OK",
            "http/1.1 200 OK",
            " HTTP/1.1 200 OK",
            "HTTP/1.1  200 OK",
        ).forEach { assertNull(ResponseHeadRules.statusOf(it), it) }
    }

    @Test
    fun `a status line inside a reason phrase or value is that of another response`() {
        assertNull(ResponseHeadRules.statusOf("HTTP/1.1 503 FuHTTP/1.1 200 OK"))
        assertNotNull(ResponseHeadRules.headerFlaw("Not-Executed: fuHTTP/1.1 200 OK"))
        assertNotNull(ResponseHeadRules.headerFlaw("Not-Executed: fuHTTP/1.1 5HTTP/1.0 200"))
        assertNotNull(ResponseHeadRules.headerFlaw("X-Origin-Status: HTTP/1.1 200 OK"))
    }

    @Test
    fun `values that only name the protocol are those of one response`() {
        listOf(
            "Via: HTTP/1.1 proxy",
            "Via: 1.1 a, HTTP/1.1 b",
            "Upgrade: HTTP/1.1",
            "X: HTTP/1.1 2000 things",
            "X:",
            "X: caf\u00e9\t!",
            "X:: y",
        ).forEach {
            assertNull(ResponseHeadRules.headerFlaw(it), it)
        }
    }

    @Test
    fun `a line that is no header, or a folded one, is not part of one head`() {
        listOf(
            "HTTP/1.1 200 OK",
            "HTTP/1.1 500 Error: none",
            "Request",
            ": x",
            " folded: x",
            "Na me: x",
            "Name : x",
            "Name: a\rb",
            "Name: a\u0000b",
        ).forEach { assertNotNull(ResponseHeadRules.headerFlaw(it), it) }
    }
}
