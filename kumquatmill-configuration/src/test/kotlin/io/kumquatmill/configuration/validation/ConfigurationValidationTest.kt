package io.kumquatmill.configuration.validation

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.configuration.pharmacy
import io.kumquatmill.configuration.testConfiguration
import kotlin.test.Test
import kotlin.test.assertEquals

class ConfigurationValidationTest {
    private fun errorsOf(configuration: OperatorConfiguration): List<ValidationError> =
        validate(configuration).fold({ it }, { emptyList() })

    private fun errorsOfPlan(plan: Plan): List<ValidationError> = errorsOf(testConfiguration.copy(plans = listOf(plan)))

    @Test
    fun `a valid configuration is returned unchanged`() {
        assertEquals(testConfiguration, validate(testConfiguration).getOrNull())
    }

    @Test
    fun `duplicate entries are reported with their count`() {
        val configuration = OperatorConfiguration(listOf(basicPlan, basicPlan), listOf(pharmacy, pharmacy, pharmacy))
        val expected = listOf(ValidationError.DuplicatePlan(basicPlan.id, 2), ValidationError.DuplicateWorkspace(pharmacy.workspace, 3))
        assertEquals<List<ValidationError>>(expected, errorsOf(configuration))
    }

    @Test
    fun `a customer with an unknown plan is reported with the known plans`() {
        val configuration = testConfiguration.copy(customers = listOf(pharmacy.copy(plan = PlanId("gold"))))
        assertEquals(listOf(ValidationError.UnknownPlan(pharmacy.workspace, PlanId("gold"), listOf(basicPlan.id))), errorsOf(configuration))
    }

    @Test
    fun `values out of bounds are reported`() {
        for (rate in listOf(0.0, -1.0, Double.NaN, Double.POSITIVE_INFINITY, ConfigurationBounds.MAX_RATE_PER_S + 1)) {
            assertEquals(listOf(ValidationError.RateOutOfBounds(basicPlan.id, rate)), errorsOfPlan(basicPlan.copy(ratePerS = rate)))
        }
        assertEquals(listOf(ValidationError.BurstOutOfBounds(basicPlan.id, 0)), errorsOfPlan(basicPlan.copy(burst = 0)))
        assertEquals(listOf(ValidationError.WeightOutOfBounds(basicPlan.id, 0)), errorsOfPlan(basicPlan.copy(weight = 0)))
    }

    @Test
    fun `an invalid name is reported`() {
        val configuration = testConfiguration.copy(customers = listOf(pharmacy.copy(workspace = WorkspaceId("a b"))))
        assertEquals(listOf(ValidationError.InvalidName("workspace", "a b")), errorsOf(configuration))
    }

    @Test
    fun `a key granted to two workspaces is reported with both`() {
        val configuration = testConfiguration.copy(customers = listOf(clinic, pharmacy.copy(keyHashes = setOf(clinicKey))))
        assertEquals(
            listOf(ValidationError.DuplicateKeyGrant(clinicKey, listOf(clinic.workspace, pharmacy.workspace))),
            errorsOf(configuration),
        )
    }

    @Test
    fun `a key hash that is not a SHA-256 digest is reported`() {
        val hash = KeyHash("secret")
        val configuration = testConfiguration.copy(customers = listOf(pharmacy.copy(keyHashes = setOf(hash))))
        assertEquals(listOf(ValidationError.MalformedKeyHash(pharmacy.workspace, hash)), errorsOf(configuration))
    }

    @Test
    fun `a configuration that does not fit into one store value is reported`() {
        val keys = (1..15_000).mapTo(mutableSetOf()) { KeyHash.of("key-$it") }
        val errors = errorsOf(testConfiguration.copy(customers = listOf(pharmacy.copy(keyHashes = keys))))
        assertEquals(listOf(ValidationError.TooLarge::class), errors.map { it::class })
    }
}
