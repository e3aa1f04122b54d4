package io.kumquatmill.configuration.validation

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.Plan
import io.kumquatmill.configuration.pharmacy
import io.kumquatmill.configuration.testLists
import kotlin.test.Test
import kotlin.test.assertEquals

class ListValidationTest {
    private fun errorsOf(lists: OperatorLists): List<ListError> = validate(lists).fold({ it }, { emptyList() })

    private fun errorsOfPlan(plan: Plan): List<ListError> = errorsOf(testLists.copy(plans = listOf(plan)))

    @Test
    fun `valid lists are accepted unchanged`() {
        assertEquals(testLists, validate(testLists).getOrNull())
    }

    @Test
    fun `repeated entries are reported with their count`() {
        val lists = OperatorLists(listOf(basicPlan, basicPlan), listOf(pharmacy, pharmacy, pharmacy))
        val expected = listOf(ListError.DuplicatePlan(basicPlan.id, 2), ListError.DuplicateWorkspace(pharmacy.workspace, 3))
        assertEquals<List<ListError>>(expected, errorsOf(lists))
    }

    @Test
    fun `a customer on a plan that is not listed is reported with the listed plans`() {
        val lists = testLists.copy(customers = listOf(pharmacy.copy(plan = PlanId("gold"))))
        assertEquals(listOf(ListError.UnknownPlan(pharmacy.workspace, PlanId("gold"), listOf(basicPlan.id))), errorsOf(lists))
    }

    @Test
    fun `values outside their bounds are reported`() {
        for (rate in listOf(0.0, -1.0, Double.NaN, Double.POSITIVE_INFINITY, ListBounds.MAX_RATE_PER_S + 1)) {
            assertEquals(listOf(ListError.RateOutOfBounds(basicPlan.id, rate)), errorsOfPlan(basicPlan.copy(ratePerS = rate)))
        }
        assertEquals(listOf(ListError.BurstOutOfBounds(basicPlan.id, 0)), errorsOfPlan(basicPlan.copy(burst = 0)))
        assertEquals(listOf(ListError.WeightOutOfBounds(basicPlan.id, 0)), errorsOfPlan(basicPlan.copy(weight = 0)))
    }

    @Test
    fun `a bad name is reported`() {
        val lists = testLists.copy(customers = listOf(pharmacy.copy(workspace = WorkspaceId("a b"))))
        assertEquals(listOf(ListError.BadName("workspace", "a b")), errorsOf(lists))
    }

    @Test
    fun `a key granted to two workspaces is reported with both`() {
        val lists = testLists.copy(customers = listOf(clinic, pharmacy.copy(keyHashes = setOf(clinicKey))))
        assertEquals(listOf(ListError.KeyGrantedTwice(clinicKey, listOf(clinic.workspace, pharmacy.workspace))), errorsOf(lists))
    }

    @Test
    fun `a key hash that is not SHA-256 is reported`() {
        val hash = KeyHash("secret")
        val lists = testLists.copy(customers = listOf(pharmacy.copy(keyHashes = setOf(hash))))
        assertEquals(listOf(ListError.MalformedKeyHash(pharmacy.workspace, hash)), errorsOf(lists))
    }

    @Test
    fun `lists that do not fit into one store value are reported`() {
        val keys = (1..15_000).mapTo(mutableSetOf()) { KeyHash.of("key-$it") }
        val errors = errorsOf(testLists.copy(customers = listOf(pharmacy.copy(keyHashes = keys))))
        assertEquals(listOf(ListError.TooLarge::class), errors.map { it::class })
    }
}
