package io.kumquatmill.configuration.current

import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.edit.ConfigurationEdit
import io.kumquatmill.configuration.edit.applyEdit
import io.kumquatmill.configuration.json.encodeConfiguration
import io.kumquatmill.configuration.model.VersionedConfiguration
import io.kumquatmill.configuration.testConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull

class CurrentConfigurationTest {
    private val current = CurrentConfiguration()
    private val withoutKey = testConfiguration.applyEdit(ConfigurationEdit.WithdrawKey(clinic.workspace, clinicKey)).getOrNull()!!

    @Test
    fun `a configuration of a higher revision replaces the active one`() {
        current.updateFromStore(encodeConfiguration(testConfiguration), storeRevision = 3)
        assertEquals(clinic.workspace, current.snapshot?.workspaceOf(clinicKey))
        assertEquals(basicPlan, current.snapshot?.planOf(clinic.workspace))
        assertEquals(true, current.updateFromPeer(VersionedConfiguration(4, withoutKey)).getOrNull())
        assertNull(current.snapshot?.workspaceOf(clinicKey))
    }

    @Test
    fun `a configuration of the same or a lower revision is ignored`() {
        current.updateFromPeer(VersionedConfiguration(4, withoutKey))
        assertEquals(false, current.updateFromPeer(VersionedConfiguration(4, testConfiguration)).getOrNull())
        assertEquals(false, current.updateFromStore(encodeConfiguration(testConfiguration), storeRevision = 3).getOrNull())
        assertNull(current.snapshot?.workspaceOf(clinicKey))
    }

    @Test
    fun `an invalid or deleted document does not replace the active configuration`() {
        current.updateFromPeer(VersionedConfiguration(4, testConfiguration))
        assertIs<ConfigurationUpdateError.InvalidDocument>(current.updateFromStore("{", storeRevision = 5).leftOrNull())
        assertIs<ConfigurationUpdateError.Deleted>(current.updateFromStore(null, storeRevision = 6).leftOrNull())
        val invalid = VersionedConfiguration(7, testConfiguration.copy(plans = emptyList()))
        assertIs<ConfigurationUpdateError.InvalidPeerConfiguration>(current.updateFromPeer(invalid).leftOrNull())
        assertEquals(4, current.revision)
    }
}
