package io.kumquatmill.daemon.caller

import io.kumquatmill.common.outcome.Outcome
import io.kumquatmill.common.outcome.RefusalReason
import io.kumquatmill.common.time.MonotonicClock
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.daemon.decision.DecisionLoop
import io.kumquatmill.node.EntryHost
import io.kumquatmill.node.EntryNode
import io.kumquatmill.node.Lifecycle
import io.kumquatmill.node.LookupQuery
import io.kumquatmill.node.LookupResult
import io.kumquatmill.node.NodeStatus
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.add
import kotlinx.serialization.json.buildJsonArray
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.routing.bind
import org.http4k.routing.routes
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

private const val QUERY_TIMEOUT_MS = 500L
private const val MAX_TICK_AGE_MS = 1_000L
private const val MS_PER_S = 1_000L
private const val RETRY_AFTER_MS = 1_000L

/** Paths that the daemon serves itself instead of forwarding them. */
internal val operatorPaths = setOf("/v1/entry-hosts", "/v1/status", "/metrics", "/healthz", "/readyz")

/** Returns the handler of [operatorPaths]. A null [scrapeMetrics] means that metrics are disabled, and `/metrics` returns 404. */
internal fun operatorRoutes(
    loop: DecisionLoop,
    clock: MonotonicClock,
    scrapeMetrics: (() -> String)?,
): HttpHandler =
    routes(
        "/v1/entry-hosts" bind Method.GET to { request -> respondToLookup(loop, request) },
        "/v1/status" bind Method.GET to { loop.respond { node, nowMs -> jsonResponse(statusJson(node.status(nowMs))) } },
        "/metrics" bind Method.GET to { scrapeMetrics?.let { Response(Status.OK).body(it()) } ?: Response(Status.NOT_FOUND) },
        "/healthz" bind Method.GET to { healthResponse(clock.nowMs() - loop.lastTickMs < MAX_TICK_AGE_MS) },
        "/readyz" bind Method.GET to { loop.respond { node, nowMs -> healthResponse(node.status(nowMs).isReady()) } },
    )

private fun NodeStatus.isReady(): Boolean = lifecycle == Lifecycle.LIVE && hasStanding && servesKeys

private fun respondToLookup(
    loop: DecisionLoop,
    request: Request,
): Response =
    parseBearerKey(request).fold(
        { error -> refusalResponse(Outcome.NotRun(RefusalReason.MALFORMED_REQUEST, RETRY_AFTER_MS), null, error) },
        { key ->
            val query = LookupQuery(key?.let(KeyHash::of), request.source?.address.orEmpty())
            loop.respond { node, nowMs -> lookupResponse(node.lookUp(nowMs, query)) }
        },
    )

private fun DecisionLoop.respond(block: (EntryNode, Long) -> Response): Response =
    try {
        query(block)?.get(QUERY_TIMEOUT_MS, TimeUnit.MILLISECONDS) ?: queueFullResponse()
    } catch (_: TimeoutException) {
        queueFullResponse()
    } catch (_: ExecutionException) {
        queueFullResponse()
    }

private fun queueFullResponse(): Response = refusalResponse(Outcome.NotRun(RefusalReason.QUEUE_FULL, RETRY_AFTER_MS), null)

private fun healthResponse(isHealthy: Boolean): Response =
    if (isHealthy) Response(Status.OK).body("ok\n") else Response(Status.SERVICE_UNAVAILABLE).body("not ready\n")

private fun jsonResponse(content: JsonObject): Response =
    Response(Status.OK).header("Content-Type", "application/json").body(content.toString())

private fun lookupResponse(result: LookupResult): Response =
    when (result) {
        is LookupResult.Refused -> refusalResponse(result.outcome, null)
        is LookupResult.Found -> jsonResponse(lookupJson(result)).header("Cache-Control", "private, max-age=${result.cacheMs / MS_PER_S}")
    }

private fun lookupJson(found: LookupResult.Found): JsonObject =
    buildJsonObject {
        put("hosts", hostsJson(found.hosts))
        put("alternates", hostsJson(found.alternates))
        put("cacheMs", found.cacheMs)
    }

private fun hostsJson(hosts: List<EntryHost>) =
    buildJsonArray {
        hosts.forEach { host ->
            add(
                buildJsonObject {
                    put("host", host.host.value)
                    put("region", host.region.value)
                    put("address", host.address.toString())
                },
            )
        }
    }

private fun statusJson(status: NodeStatus): JsonObject =
    buildJsonObject {
        put("host", status.host.value)
        put("incarnation", status.incarnation.value)
        put("lifecycle", status.lifecycle.wireName)
        put("configurationRevision", status.configurationRevision)
        put("rosterEpoch", status.rosterEpoch)
        put("hasStanding", status.hasStanding)
        put("servesKeys", status.servesKeys)
        put("inFlightRequests", status.inFlightRequests)
        put("queuedRequests", status.queuedRequests)
        putJsonArray("shares") {
            status.shares.forEach { share ->
                add(
                    buildJsonObject {
                        put("limit", share.limit)
                        put("units", share.units)
                        put("totalUnits", share.totalUnits)
                    },
                )
            }
        }
    }
