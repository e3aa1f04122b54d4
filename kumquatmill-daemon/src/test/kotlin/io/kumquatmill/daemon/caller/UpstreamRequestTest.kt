package io.kumquatmill.daemon.caller

import org.http4k.core.Method
import org.http4k.core.Request
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class UpstreamRequestTest {
    private val key = "s3cret/key+of=carer"

    @Test
    fun `the key is removed from everything that is forwarded to workers`() {
        val request =
            Request(Method.GET, "/orders?a=1&key=s3cret%2Fkey%2Bof%3Dcarer&b=2&k=$key")
                .header("Authorization", "Bearer $key")
                .header("Cookie", "session=$key")
                .header("X-Api-Key", key)
                .header("X-Encoded", "s3cret%2Fkey%2Bof%3Dcarer")
                .header("Accept", "text/plain")

        val upstream = upstreamRequest(request, key, ByteArray(0)).fold({ error(it) }, { it })

        assertEquals("/orders?a=1&b=2", upstream.pathAndQuery)
        assertEquals(listOf("Accept" to "text/plain"), upstream.headers)
    }

    @Test
    fun `a path or body that contains the key is refused`() {
        val inPath = upstreamRequest(Request(Method.GET, "/orders/abcdefgh"), "abcdefgh", ByteArray(0))
        val inBody = upstreamRequest(Request(Method.POST, "/orders"), key, "key: $key".toByteArray())

        assertTrue(inPath.isLeft() && inBody.isLeft())
    }

    @Test
    fun `a path that another hop could resolve to a different route is refused`() {
        val paths = listOf("/a/../orders", "/a/%2e%2E/orders", "/a/..;x/orders", "/a/.", "/a\\b", "/a%2Forders", "/a/%252e%252e/orders")

        val accepted = paths.filter { upstreamRequest(Request(Method.GET, it), null, ByteArray(0)).isRight() }

        assertEquals(emptyList(), accepted)
    }

    @Test
    fun `hop-by-hop headers and internal headers are removed`() {
        val request =
            Request(Method.POST, "/orders")
                .header("Connection", "keep-alive, X-Hop")
                .header("X-Hop", "1")
                .header("Transfer-Encoding", "chunked")
                .header("Kumquatmill-Workspace", "another")
                .header("kumquatmill-request-id", "forged")
                .header("Idempotency-Key", "k1")

        val upstream = upstreamRequest(request, null, ByteArray(0)).fold({ error(it) }, { it })

        assertEquals(listOf("Idempotency-Key" to "k1"), upstream.headers)
    }

    @Test
    fun `a key is accepted only as a single bearer token`() {
        fun keyIn(vararg values: String) =
            parseBearerKey(values.fold(Request(Method.GET, "/")) { request, value -> request.header("Authorization", value) })

        assertEquals(key, keyIn("Bearer $key").getOrNull())
        assertEquals(key, keyIn("bearer  $key ").getOrNull())
        assertTrue(keyIn("Basic abc").isLeft() && keyIn("Bearer ").isLeft() && keyIn("Bearer a", "Bearer b").isLeft())
    }
}
