package io.kumquatmill.configuration.json

import io.kumquatmill.configuration.edit.EditId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.store.StoreKeys
import kotlinx.serialization.Serializable

/**
 * Value of the entry [KEY] of the key-value service: the operators' lists and the edits made last.
 *
 * [recentEdits], the newest last, tell an operator whose answer was lost whether the edit took effect.
 */
@Serializable
data class ListsDocument(
    val plans: List<Plan> = emptyList(),
    val customers: List<Customer> = emptyList(),
    val recentEdits: List<EditId> = emptyList(),
) {
    /** The lists without the record of edits. */
    val lists: OperatorLists
        get() = OperatorLists(plans, customers)

    /** Returns a document with [lists] that records [edit] as the newest. */
    fun withEdit(
        edit: EditId,
        lists: OperatorLists,
    ): ListsDocument = ListsDocument(lists.plans, lists.customers, (recentEdits + edit).takeLast(MAX_RECENT_EDITS))

    companion object {
        /** Key of the lists in the key-value service. */
        const val KEY: String = StoreKeys.CONFIGURATION

        /** Number of edits that are remembered. */
        const val MAX_RECENT_EDITS: Int = 64
    }
}
