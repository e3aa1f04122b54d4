package io.kumquatmill.limits.ledger

import kotlinx.serialization.Serializable

/**
 * Name of a limit over all hosts together: its kind and its subject, such as `rate/acme` or `slots/worker-7`.
 */
@Serializable
@JvmInline
value class LimitId(
    val value: String,
) : Comparable<LimitId> {
    /**
     * Key by which the home hosts of the limit are chosen.
     *
     * It is the subject alone, so that the homes of `rate/acme` are the hosts that steering prefers for `acme`.
     */
    val placementKey: String
        get() = value.substringAfter('/')

    override fun compareTo(other: LimitId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}
