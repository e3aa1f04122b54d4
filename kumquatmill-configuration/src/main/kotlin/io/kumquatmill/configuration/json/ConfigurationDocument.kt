package io.kumquatmill.configuration.json

import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.store.StoreKeys
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Value of the entry [KEY] in the key-value store: the configuration and the identifiers of the latest edits.
 *
 * [recentEdits], ordered from oldest to newest, tell an operator whether an edit took effect if the response was lost.
 */
@Serializable
@SerialName("io.kumquatmill.configuration.json.ListsDocument")
data class ConfigurationDocument(
    val plans: List<Plan> = emptyList(),
    val customers: List<Customer> = emptyList(),
    val recentEdits: List<EditId> = emptyList(),
) {
    /** The configuration without the recorded edits. */
    val configuration: OperatorConfiguration
        get() = OperatorConfiguration(plans, customers)

    /** Returns a document with [configuration] that records [edit] as the newest edit. */
    fun withEdit(
        edit: EditId,
        configuration: OperatorConfiguration,
    ): ConfigurationDocument =
        ConfigurationDocument(configuration.plans, configuration.customers, (recentEdits + edit).takeLast(MAX_RECENT_EDITS))

    companion object {
        /** Key of the configuration in the key-value store. */
        const val KEY: String = StoreKeys.CONFIGURATION

        /** Maximum size of [recentEdits]; the oldest edits are dropped first. */
        const val MAX_RECENT_EDITS: Int = 64
    }
}
