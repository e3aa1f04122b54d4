package io.kumquatmill.configuration.model

import kotlinx.serialization.Serializable

/** The two lists that operators edit: the plans, and the customers with their plans. */
@Serializable
data class OperatorLists(
    val plans: List<Plan> = emptyList(),
    val customers: List<Customer> = emptyList(),
)
