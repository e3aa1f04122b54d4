package io.kumquatmill.configuration.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The configuration that operators edit: the list of plans and the list of customers. */
@Serializable
@SerialName("io.kumquatmill.configuration.model.OperatorLists")
data class OperatorConfiguration(
    val plans: List<Plan> = emptyList(),
    val customers: List<Customer> = emptyList(),
)
