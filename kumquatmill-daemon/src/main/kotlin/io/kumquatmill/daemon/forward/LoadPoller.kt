package io.kumquatmill.daemon.forward

import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.daemon.platform.Poller
import io.kumquatmill.node.event.LoadReport
import io.kumquatmill.platform.ResponseHeadInterceptor
import io.kumquatmill.routing.model.Worker
import io.kumquatmill.settings.ForwardSettings
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import okhttp3.ConnectionPool
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.net.Proxy
import java.util.concurrent.TimeUnit

private const val MAX_REPORT_BYTES = 16L * 1024
private const val POLL_THREADS = 4
private const val KEEP_ALIVE_MINUTES = 1L
private const val MAX_IDLE_CONNECTIONS = 64

/** JSON body of a worker's load report. Missing fields take the values of a healthy, idle worker. */
@Serializable
internal data class LoadBody(
    val busySlots: Int = 0,
    val isHealthy: Boolean = true,
    val isDraining: Boolean = false,
)

/** Polls the load endpoint of each worker. A worker that fails to respond is skipped until the next poll. */
internal class LoadPoller(
    workers: Collection<Worker>,
    private val settings: ForwardSettings,
    private val onReport: (WorkerId, LoadReport) -> Unit,
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client =
        OkHttpClient
            .Builder()
            .proxy(Proxy.NO_PROXY)
            .followRedirects(false)
            .callTimeout(settings.loadTimeoutMs, TimeUnit.MILLISECONDS)
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_MINUTES, TimeUnit.MINUTES))
            .addNetworkInterceptor(ResponseHeadInterceptor())
            .build()
    private val pollers =
        workers
            .withIndex()
            .groupBy({ it.index % POLL_THREADS }, { it.value })
            .map { (index, group) -> Poller("load-$index", settings.loadIntervalMs) { group.forEach(::poll) } }

    fun start() = pollers.forEach { it.start() }

    override fun close() = pollers.forEach { it.close() }

    private fun poll(worker: Worker) {
        try {
            val request = Request.Builder().url("http://${worker.address}/load").build()
            val body = client.newCall(request).execute().use { if (it.isSuccessful) it.peekBody(MAX_REPORT_BYTES).string() else null }
            val load = body?.let { json.decodeFromString<LoadBody>(it) } ?: return
            onReport(worker.id, LoadReport(load.busySlots, load.isHealthy, load.isDraining))
        } catch (_: IOException) {
            return
        } catch (_: SerializationException) {
            return
        }
    }
}
