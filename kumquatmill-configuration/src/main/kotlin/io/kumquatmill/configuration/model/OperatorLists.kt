package io.kumquatmill.configuration.model

import kotlinx.serialization.Serializable

/** The two lists that operators edit: the plans, and the customers with their plans. */
@Serializable
data class OperatorLists(
    val plans: List<Plan> = emptyList(),
    val customers: List<Customer> = emptyList(),
)

/** The operators' lists as accepted by the key-value service at [revision]; higher revisions replace lower ones. */
@Serializable
data class VersionedLists(
    val revision: Long,
    val lists: OperatorLists,
)
