package io.kumquatmill.common.id

import kotlinx.serialization.Serializable

/** Name of an entry host, unique in the fleet. */
@Serializable
@JvmInline
value class HostId(
    val value: String,
) : Comparable<HostId> {
    override fun compareTo(other: HostId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a region: a group of availability zones that are close to each other. */
@Serializable
@JvmInline
value class RegionId(
    val value: String,
) : Comparable<RegionId> {
    override fun compareTo(other: RegionId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an availability zone. */
@Serializable
@JvmInline
value class AvailabilityZoneId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of a workspace: a customer, with the plan that bounds what it may use. */
@Serializable
@JvmInline
value class WorkspaceId(
    val value: String,
) : Comparable<WorkspaceId> {
    override fun compareTo(other: WorkspaceId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a plan, which states the rate, burst and routes of the workspaces on it. */
@Serializable
@JvmInline
value class PlanId(
    val value: String,
) : Comparable<PlanId> {
    override fun compareTo(other: PlanId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an upstream: a service that a set of workers provides. */
@Serializable
@JvmInline
value class UpstreamId(
    val value: String,
) : Comparable<UpstreamId> {
    override fun compareTo(other: UpstreamId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of one process of an upstream. */
@Serializable
@JvmInline
value class WorkerId(
    val value: String,
) : Comparable<WorkerId> {
    override fun compareTo(other: WorkerId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an entry of the route table. */
@Serializable
@JvmInline
value class RouteId(
    val value: String,
) : Comparable<RouteId> {
    override fun compareTo(other: RouteId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifier of one request of a caller; every attempt of the request carries it. */
@Serializable
@JvmInline
value class RequestId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of one attempt to have a worker serve a request, unique within an entry host. */
@Serializable
@JvmInline
value class AttemptId(
    val value: Long,
) {
    override fun toString(): String = value.toString()
}

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
