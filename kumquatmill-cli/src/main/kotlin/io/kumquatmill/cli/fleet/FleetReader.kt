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

private const val MAX_THREADS = 16
private val recordJson = Json { ignoreUnknownKeys = true }

/** Name and caller address of a host. */
data class FleetHost(
    val name: String,
    val address: HostAddress,
)

/** Where the list of hosts comes from: the store, or the command line when the store is down. */
sealed interface FleetSource {
    /** The records of live hosts in the store. */
    data class Store(
        val store: StoreClient,
    ) : FleetSource

    /** Hosts that the operator named. */
    data class Named(
        val addresses: List<HostAddress>,
    ) : FleetSource
}

/** Finds the live hosts and asks them. */
class FleetReader(
    private val source: FleetSource,
    private val api: HostApi,
) {
    /** Returns the live hosts. */
    fun hosts(): Either<CliError, List<FleetHost>> =
        when (source) {
            is FleetSource.Named -> source.addresses.map { FleetHost(it.toString(), it) }.right()

            is FleetSource.Store ->
                source.store
                    .readPrefix(StoreKeys.HOST_PREFIX)
                    .mapLeft(CliError::Store)
                    .map { reply -> reply.entries.mapNotNull { decodeRecord(it.value) } }
        }

    /** Asks all [hosts] for their status, several at a time. */
    fun reports(hosts: List<FleetHost>): List<HostReport> {
        if (hosts.isEmpty()) {
            return emptyList()
        }
        val executor = Executors.newFixedThreadPool(minOf(hosts.size, MAX_THREADS))
        try {
            return executor.invokeAll(hosts.map { host -> Callable { report(host) } }).map { it.get() }
        } finally {
            executor.shutdown()
        }
    }

    private fun report(host: FleetHost): HostReport =
        api.status(host.address).fold(
            { error -> HostReport(host.name, host.address.toString(), problem = error.message) },
            { status -> HostReport(status.host, host.address.toString(), status = status) },
        )

    private fun decodeRecord(value: String): FleetHost? =
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
