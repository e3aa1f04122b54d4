package io.kumquatmill.configuration.register

import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.edit.ListEdit
import io.kumquatmill.configuration.edit.edited
import io.kumquatmill.configuration.json.encodeLists
import io.kumquatmill.configuration.model.VersionedLists
import io.kumquatmill.configuration.testLists
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class ConfigurationRegisterTest {
    private val register = ConfigurationRegister()
    private val withoutKey = testLists.edited(ListEdit.WithdrawKey(clinic.workspace, clinicKey)).getOrNull()!!

    @Test
    fun `lists of a higher revision replace those in force`() {
        register.offerStored(encodeLists(testLists), storeRevision = 3)
        assertEquals(clinic.workspace, register.snapshot?.workspaceOf(clinicKey))
        assertEquals(basicPlan, register.snapshot?.planOf(clinic.workspace))
        assertEquals(true, register.offer(VersionedLists(4, withoutKey)).getOrNull())
        assertNull(register.snapshot?.workspaceOf(clinicKey))
    }

    @Test
    fun `lists of the same or a lower revision change nothing`() {
        register.offer(VersionedLists(4, withoutKey))
        assertEquals(false, register.offer(VersionedLists(4, testLists)).getOrNull())
        assertEquals(false, register.offerStored(encodeLists(testLists), storeRevision = 3).getOrNull())
        assertNull(register.snapshot?.workspaceOf(clinicKey))
    }

    @Test
    fun `an invalid or deleted document does not replace the lists in force`() {
        register.offer(VersionedLists(4, testLists))
        assertIs<RegisterError.InvalidDocument>(register.offerStored("{", storeRevision = 5).leftOrNull())
        assertIs<RegisterError.Deleted>(register.offerStored(null, storeRevision = 6).leftOrNull())
        val invalid = VersionedLists(7, testLists.copy(plans = emptyList()))
        assertIs<RegisterError.InvalidLists>(register.offer(invalid).leftOrNull())
        assertEquals(4, register.revision)
    }
}
