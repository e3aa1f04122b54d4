package io.kumquatmill.limits.ledger

import kotlinx.serialization.Serializable

/**
 * Identifier of a limit that all hosts share, made of its kind and subject, such as `rate/acme` or `slots/worker-7`.
 */
@Serializable
@JvmInline
value class LimitId(
    val value: String,
) : Comparable<LimitId> {
    /**
     * Rendezvous hashing key that selects the home hosts of the limit.
     *
     * It consists of the subject only, so that the home hosts of `rate/acme` are the hosts that steering prefers for `acme`.
     */
    val placementKey: String
        get() = value.substringAfter('/')

    override fun compareTo(other: LimitId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
