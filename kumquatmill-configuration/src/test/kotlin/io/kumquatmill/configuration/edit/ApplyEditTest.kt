package io.kumquatmill.configuration.edit

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.pharmacy
import io.kumquatmill.configuration.testConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class ApplyEditTest {
    private fun errorOf(edit: ConfigurationEdit): EditError? = testConfiguration.applyEdit(edit).leftOrNull()

    @Test
    fun `entries are added, replaced and removed`() {
        val goldPlan = basicPlan.copy(id = PlanId("gold"))
        val edits =
            listOf(
                ConfigurationEdit.SetPlan(goldPlan),
                ConfigurationEdit.SetCustomer(pharmacy.copy(plan = goldPlan.id)),
                ConfigurationEdit.RemoveCustomer(clinic.workspace),
                ConfigurationEdit.RemovePlan(basicPlan.id),
            )
        val result = edits.fold(testConfiguration) { configuration, edit -> configuration.applyEdit(edit).getOrNull()!! }
        assertEquals(OperatorConfiguration(listOf(goldPlan), listOf(pharmacy.copy(plan = goldPlan.id))), result)
    }

    @Test
    fun `an edit that cannot be applied is reported`() {
        assertEquals(
            EditError.PlanInUse(basicPlan.id, listOf(clinic.workspace, pharmacy.workspace)),
            errorOf(ConfigurationEdit.RemovePlan(basicPlan.id)),
        )
        assertEquals(EditError.NoSuchPlan(PlanId("gold")), errorOf(ConfigurationEdit.RemovePlan(PlanId("gold"))))
        assertEquals(EditError.NoSuchWorkspace(WorkspaceId("x")), errorOf(ConfigurationEdit.RemoveCustomer(WorkspaceId("x"))))
        val notGranted = ConfigurationEdit.WithdrawKey(pharmacy.workspace, clinicKey)
        assertEquals(EditError.KeyNotGranted(pharmacy.workspace, clinicKey), errorOf(notGranted))
    }

    @Test
    fun `an edit whose result is invalid is reported`() {
        assertIs<EditError.InvalidResult>(errorOf(ConfigurationEdit.GrantKey(pharmacy.workspace, clinicKey)))
    }
}
