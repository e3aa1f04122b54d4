package io.kumquatmill.cli.fleet

import arrow.core.Either
import arrow.core.right
import io.kumquatmill.cli.error.CliError
import io.kumquatmill.common.fleet.HostAddress
import io.kumquatmill.common.fleet.Member
import io.kumquatmill.store.StoreClient
import io.kumquatmill.store.StoreKeys
import io.kumquatmill.store.readPrefix
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.util.concurrent.Callable
import java.util.concurrent.Executors

private const val MAX_CONCURRENT_REQUESTS = 16
private val recordJson = Json { ignoreUnknownKeys = true }

/**
 * An entry host that commands can query.
 *
 * @property name name of the host, or its address if the operator gave only that.
 * @property address address on which the host accepts callers' requests.
 */
data class FleetHost(
    val name: String,
    val address: HostAddress,
)

/** Source of the host list: the store, or the command line, which also works while the store is down. */
sealed interface FleetSource {
    /** The host records in the store. */
    data class Store(
        val store: StoreClient,
    ) : FleetSource

    /** Hosts that the operator gave by address. */
    data class Explicit(
        val addresses: List<HostAddress>,
    ) : FleetSource
}

/** Lists the hosts of the fleet and fetches their status. */
class FleetReader(
    private val source: FleetSource,
    private val client: HostClient,
) {
    /** Returns the hosts of [source] without contacting them; records that can't be decoded are skipped. */
    fun listHosts(): Either<CliError, List<FleetHost>> =
        when (source) {
            is FleetSource.Explicit -> source.addresses.map { FleetHost(it.toString(), it) }.right()

            is FleetSource.Store ->
                source.store
                    .readPrefix(StoreKeys.HOST_PREFIX)
                    .mapLeft(CliError::Store)
                    .map { reply -> reply.entries.mapNotNull { decodeHostRecord(it.value) } }
        }

    /** Fetches the status of all [hosts], several at a time; a host that fails is reported with its error. */
    fun fetchReports(hosts: List<FleetHost>): List<HostReport> {
        if (hosts.isEmpty()) {
            return emptyList()
        }
        val executor = Executors.newFixedThreadPool(minOf(hosts.size, MAX_CONCURRENT_REQUESTS))
        try {
            return executor.invokeAll(hosts.map { host -> Callable { fetchReport(host) } }).map { it.get() }
        } finally {
            executor.shutdown()
        }
    }

    private fun fetchReport(host: FleetHost): HostReport =
        client.fetchStatus(host.address).fold(
            { error -> HostReport(host.name, host.address.toString(), problem = error.message) },
            { status -> HostReport(status.host, host.address.toString(), status = status) },
        )

    private fun decodeHostRecord(value: String): FleetHost? =
        try {
            val member = recordJson.decodeFromString<HostRecord>(value).member
            FleetHost(member.host.value, member.callerAddress)
        } catch (_: IllegalArgumentException) {
            null
        }

    @Serializable
    private data class HostRecord(
        val member: Member,
    )
}
