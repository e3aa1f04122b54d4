package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/**
 * Number of one life of an entry host.
 *
 * A restarted, replaced or evicted host continues under a higher incarnation, with empty token buckets and no loans.
 */
@Serializable
@JvmInline
value class Incarnation(
    val value: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
