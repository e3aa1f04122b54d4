package io.kumquatmill.gateway

import io.kumquatmill.gateway.caller.HttpHeaderNames
import io.kumquatmill.gateway.store.StateDecoder
import io.kumquatmill.gateway.store.StateKeys
import io.kumquatmill.gateway.store.StoreProtocol

/**
 * How the surroundings of an entry host speak.
 *
 * @property readinessPath path at which the platform asks whether this host is ready
 * @property directoryPath path at which callers ask which hosts to use
 * @property regionParameter query parameter of the directory with the caller's region
 * @property directoryAnswer encodes the addresses of hosts and the seconds for which they hold
 */
class GatewayAdapter(
    val names: HttpHeaderNames,
    val keys: StateKeys,
    val storeProtocol: StoreProtocol,
    val decoder: StateDecoder,
    val readinessPath: String,
    val directoryPath: String,
    val regionParameter: String,
    val directoryAnswer: (addresses: List<String>, ttlS: Int) -> ByteArray,
)
