package io.kumquatmill.standins.platform

import io.kumquatmill.platform.HttpStoreClient
import io.kumquatmill.platform.PlatformClientSettings
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.compareAndSwap
import io.kumquatmill.store.grantLease
import io.kumquatmill.store.read
import io.kumquatmill.store.watch
import org.http4k.client.JavaHttpClient
import org.http4k.core.Method
import org.http4k.core.Request
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class PlatformStandinServerTest {
    private val server = PlatformStandinServer()
    private val http = JavaHttpClient()
    private val client = HttpStoreClient(PlatformClientSettings(listOf(server.address), callTimeoutMs = 10_000))

    @AfterTest
    fun close() {
        client.close()
        server.close()
    }

    private fun control(
        method: Method,
        path: String,
        body: String = "",
    ): String = http(Request(method, "http://${server.address}$path").body(body)).bodyString()

    @Test
    fun `faults can be set and cleared over HTTP`() {
        control(Method.PUT, "/control/faults", """{"isDown":true}""")
        assertIs<StoreError.Unavailable>(client.read("a").leftOrNull())
        control(Method.PUT, "/control/faults", "{}")
        control(Method.POST, "/control/lose-answers/1")
        assertIs<StoreError.Unknown>(client.compareAndSwap("a", 0, "x").leftOrNull())
        assertEquals(
            "x",
            client
                .read("a")
                .getOrNull()
                ?.entry
                ?.value,
        )
    }

    @Test
    fun `an invalid fault configuration is rejected and changes nothing`() {
        val request = Request(Method.PUT, "http://${server.address}/control/faults")
        val statuses = listOf("""{"isDwon":true}""", "{").map { http(request.body(it)).status.code }
        assertEquals(listOf(400, 400), statuses)
        assertEquals(true, client.read("a").isRight())
    }

    @Test
    fun `expiring a lease over HTTP removes its entries`() {
        val lease = client.grantLease(60_000).getOrNull()!!.lease
        val written = client.compareAndSwap("a", 0, "x", lease).getOrNull()!!.revision
        control(Method.POST, "/control/leases/${lease.value}/expire")
        val changes = client.watch("a", written, 10_000).getOrNull()?.changes
        assertEquals(listOf(null), changes?.map { it.value })
    }

    @Test
    fun `a lease expires on time even if no call is received`() {
        val lease = client.grantLease(100).getOrNull()!!.lease
        val written = client.compareAndSwap("a", 0, "x", lease).getOrNull()!!.revision
        val changes = client.watch("a", written, 10_000).getOrNull()?.changes
        assertEquals(listOf(null), changes?.map { it.value })
    }

    @Test
    fun `hosts can be added and removed over HTTP`() {
        control(Method.PUT, "/control/hosts/h1/live")
        control(Method.PUT, "/control/hosts/h2/leaving")
        assertEquals("""[{"host":"h1","state":"LIVE"},{"host":"h2","state":"LEAVING"}]""", control(Method.GET, "/v1/hosts"))
        control(Method.DELETE, "/control/hosts/h1")
        assertEquals("""[{"host":"h2","state":"LEAVING"}]""", control(Method.GET, "/v1/hosts"))
    }

    @Test
    fun `call counts and peak rates can be read over HTTP`() {
        client.read("a")
        client.compareAndSwap("a", 0, "x")
        assertEquals("""{"read":1,"compare-and-swap":1}""", control(Method.GET, "/control/counters"))
        assertEquals("""{"readsPerS":1,"writesPerS":1}""", control(Method.GET, "/control/peak-rates"))
    }

    @Test
    fun `the state is retained when the server restarts on the same port`() {
        client.compareAndSwap("a", 0, "x")
        val address = server.address
        server.close()
        assertIs<StoreError.Unavailable>(
            client
                .read("a")
                .also { client.read("a") }
                .let { client.read("a") }
                .leftOrNull(),
        )
        PlatformStandinServer(server.state, port = address.port).use {
            assertEquals(
                "x",
                client
                    .read("a")
                    .getOrNull()
                    ?.entry
                    ?.value,
            )
        }
    }
}
