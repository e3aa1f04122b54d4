package io.kumquatmill.configuration.edit

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.pharmacy
import io.kumquatmill.configuration.testLists
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ApplyEditTest {
    private fun errorOf(edit: ListEdit): EditError? = testLists.edited(edit).leftOrNull()

    @Test
    fun `entries are added, replaced and removed`() {
        val goldPlan = basicPlan.copy(id = PlanId("gold"))
        val edits =
            listOf(
                ListEdit.SetPlan(goldPlan),
                ListEdit.SetCustomer(pharmacy.copy(plan = goldPlan.id)),
                ListEdit.RemoveCustomer(clinic.workspace),
                ListEdit.RemovePlan(basicPlan.id),
            )
        val result = edits.fold(testLists) { lists, edit -> lists.edited(edit).getOrNull()!! }
        assertEquals(OperatorLists(listOf(goldPlan), listOf(pharmacy.copy(plan = goldPlan.id))), result)
    }

    @Test
    fun `an edit that does not fit is reported`() {
        assertEquals(
            EditError.PlanInUse(basicPlan.id, listOf(clinic.workspace, pharmacy.workspace)),
            errorOf(ListEdit.RemovePlan(basicPlan.id)),
        )
        assertEquals(EditError.NoSuchPlan(PlanId("gold")), errorOf(ListEdit.RemovePlan(PlanId("gold"))))
        assertEquals(EditError.NoSuchWorkspace(WorkspaceId("x")), errorOf(ListEdit.RemoveCustomer(WorkspaceId("x"))))
        val notGranted = ListEdit.WithdrawKey(pharmacy.workspace, clinicKey)
        assertEquals(EditError.KeyNotGranted(pharmacy.workspace, clinicKey), errorOf(notGranted))
    }

    @Test
    fun `an edit whose result is invalid is reported`() {
        assertIs<EditError.InvalidResult>(errorOf(ListEdit.GrantKey(pharmacy.workspace, clinicKey)))
    }
}
