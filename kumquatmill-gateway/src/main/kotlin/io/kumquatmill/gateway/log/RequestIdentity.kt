package io.kumquatmill.gateway.log

import io.kumquatmill.traffic.crash.RequestFingerprint

/**
 * What identifies a request in the logs.
 *
 * @property id id that the caller gave to this one request
 * @property fingerprint what the request has in common with others of the same content
 */
data class RequestIdentity(
    val id: String,
    val fingerprint: RequestFingerprint,
)
