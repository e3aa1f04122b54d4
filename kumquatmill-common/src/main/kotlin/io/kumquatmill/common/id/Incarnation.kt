package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/**
 * Incarnation number of an entry host.
 *
 * A restarted, replaced or evicted host continues with a higher incarnation, empty token buckets and no loans.
 */
@Serializable
@JvmInline
value class Incarnation(
    val value: Long,
) : Comparable<Incarnation> {
    override fun compareTo(other: Incarnation): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}
