package io.kumquatmill.platform

import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.compareAndSwap
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Undertow
import org.http4k.server.asServer
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HttpStoreClientNoRetryTest {
    private val receivedRequests = AtomicInteger()

    private fun countRequestsAnsweredWith(response: Response): Int {
        val server =
            { _: org.http4k.core.Request ->
                receivedRequests.incrementAndGet()
                response
            }.asServer(Undertow(0)).start()
        val client = HttpStoreClient(PlatformClientSettings(listOf(HostAddress("127.0.0.1", server.port()))))
        val result = client.use { it.compareAndSwap("a", 0, "x") }
        server.stop()
        assertIs<StoreError.Unknown>(result.leftOrNull())
        return receivedRequests.get()
    }

    @Test
    fun `a write that receives 503 with an immediate Retry-After is sent once`() {
        assertEquals(1, countRequestsAnsweredWith(Response(Status.SERVICE_UNAVAILABLE).header("Retry-After", "0")))
    }

    @Test
    fun `a write that receives 408 is sent once`() {
        assertEquals(1, countRequestsAnsweredWith(Response(Status.CLIENT_TIMEOUT)))
    }

    @Test
    fun `a write that receives a redirect is sent once`() {
        assertEquals(1, countRequestsAnsweredWith(Response(Status.TEMPORARY_REDIRECT).header("Location", "/v1/store")))
    }
}
