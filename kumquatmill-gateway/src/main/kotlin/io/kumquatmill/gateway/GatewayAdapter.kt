package io.kumquatmill.gateway

import io.kumquatmill.gateway.caller.HttpHeaderNames
import io.kumquatmill.gateway.store.StateDecoder
import io.kumquatmill.gateway.store.StateKeys
import io.kumquatmill.gateway.store.StoreProtocol

/**
 * Adapts an entry host to the protocols, header names and store keys of the platform it runs on.
 *
 * @property headerNames names of the HTTP headers exchanged with callers and workers
 * @property stateKeys keys of the store entries that a host reads and writes
 * @property storeProtocol encoding of the key-value store's calls as HTTP requests
 * @property stateDecoder decoder of the store entries
 * @property readinessPath path of the readiness probe
 * @property directoryPath path at which callers look up the hosts to use
 * @property regionParameter query parameter of a directory request that names the caller's region
 * @property encodeDirectoryResponse encodes the response body: addresses (IP:port) of hosts, and the time to live in seconds
 */
class GatewayAdapter(
    val headerNames: HttpHeaderNames,
    val stateKeys: StateKeys,
    val storeProtocol: StoreProtocol,
    val stateDecoder: StateDecoder,
    val readinessPath: String,
    val directoryPath: String,
    val regionParameter: String,
    val encodeDirectoryResponse: (addresses: List<String>, ttlS: Int) -> ByteArray,
)
