package io.kumquatmill.cli

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import io.kumquatmill.cli.fleet.HostClient
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.platform.HttpStoreClient
import io.kumquatmill.platform.PlatformClientSettings
import io.kumquatmill.standins.platform.PlatformStandinServer
import io.kumquatmill.standins.platform.StoreFaults
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.StoreKeys
import io.kumquatmill.store.compareAndSwap
import io.kumquatmill.store.kind
import io.kumquatmill.store.read
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.http4k.server.Undertow
import org.http4k.server.asServer
import java.util.concurrent.CopyOnWriteArrayList

/** Caller's key in plain text. */
internal const val TEST_KEY = "0123456789-secret-of-a-clinic"

/** Runs commands against a local test platform; the clock only advances when a command sleeps. */
internal class CliFixture : AutoCloseable {
    val platform = PlatformStandinServer()
    val store = HttpStoreClient(PlatformClientSettings(listOf(platform.address)))

    /** Runs once, immediately before the next write of a command is sent to the store. */
    var beforeNextWrite: () -> Unit = {}

    /** Runs once, immediately after the next write of a command has returned. */
    var afterNextWrite: () -> Unit = {}

    /** Runs each time a command sleeps. */
    var onSleep: () -> Unit = {}

    private var nowMs = 0L
    private var editCount = 0

    private val environment =
        CommandEnvironment(
            openStore = { address, timeoutMs -> openInterceptedStore(address, timeoutMs) },
            createHostClient = ::HostClient,
            readKeyFromInput = { TEST_KEY },
            newEditId = { EditId("edit-${++editCount}") },
            clock = { nowMs },
            sleep = { sleepMs ->
                nowMs += sleepMs
                onSleep()
            },
        )

    fun run(vararg args: String): CliktCommandTestResult = runWithoutStore(*args, "--store", platform.address.toString())

    fun runWithoutStore(vararg args: String): CliktCommandTestResult = kumquatctl(environment).test(args.toList())

    fun setFaults(faults: StoreFaults) = platform.state.withStore { it.faults = faults }

    fun loseNextResponse() = platform.state.withStore { it.loseNextWriteResponses() }

    fun storedValue(key: String): String? =
        store
            .read(key)
            .getOrNull()
            ?.entry
            ?.value

    /** Writes a host record for [name] at [address], as the host itself would. */
    fun registerHost(
        name: String,
        address: HostAddress,
    ) {
        val addressJson = """{"ip":"${address.ip}","port":${address.port}}"""
        val member =
            """{"host":"$name","incarnation":1,"region":"vychod","availabilityZone":"v1",""" +
                """"callerAddress":$addressJson,"peerAddress":$addressJson}"""
        store.compareAndSwap(StoreKeys.HOST_PREFIX + name, StoreCall.NO_REVISION, """{"member":$member,"state":"LIVE"}""")
    }

    override fun close() {
        store.close()
        platform.close()
    }

    private fun openInterceptedStore(
        address: HostAddress,
        timeoutMs: Long,
    ): StoreClient {
        val client = HttpStoreClient(PlatformClientSettings(listOf(address), callTimeoutMs = timeoutMs))
        return StoreClient { call ->
            if (call.kind.isWrite) beforeNextWrite.also { beforeNextWrite = {} }()
            val result = client.execute(call)
            if (call.kind.isWrite) afterNextWrite.also { afterNextWrite = {} }()
            result
        }
    }
}

/** Serves the status and lookup endpoints of an entry host. */
internal class FakeHost(
    private val name: String,
    @Volatile var revision: Long = 0,
) : AutoCloseable {
    val lookupRequests = CopyOnWriteArrayList<Request>()
    var lookupResponse: Response = Response(Status.OK).body(LOOKUP_RESPONSE_JSON)
    private val server: Http4kServer = ::respond.asServer(Undertow(0)).start()
    val address = HostAddress("127.0.0.1", server.port())

    override fun close() {
        server.stop()
    }

    private fun respond(request: Request): Response {
        if (request.uri.path == "/v1/status") {
            return Response(Status.OK).body(statusJson())
        }
        lookupRequests += request
        return lookupResponse
    }

    private fun statusJson(): String =
        """{"host":"$name","incarnation":3,"lifecycle":"live","configurationRevision":$revision,"rosterEpoch":5,""" +
            """"hasStanding":true,"inFlightRequests":2,"queuedRequests":1,""" +
            """"shares":[{"limit":"workspace/clinic","units":7,"totalUnits":10}]}"""

    private companion object {
        const val LOOKUP_RESPONSE_JSON =
            """{"hosts":[{"host":"h1","region":"vychod","address":{"ip":"10.0.0.1","port":80}}],"alternates":[],"cacheMs":5000}"""
    }
}
