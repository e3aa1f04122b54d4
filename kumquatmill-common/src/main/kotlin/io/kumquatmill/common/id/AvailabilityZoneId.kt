package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of an availability zone. */
@Serializable
@JvmInline
value class AvailabilityZoneId(
    val value: String,
) {
    override fun toString(): String = value
}
