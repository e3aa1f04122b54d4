package io.kumquatmill.configuration.edit

import arrow.core.Either
import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.json.ConfigurationDocument
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.VersionedConfiguration
import io.kumquatmill.configuration.pharmacy
import io.kumquatmill.configuration.testConfiguration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class CommitEditTest {
    private val store = FakeConfigurationStore(testConfiguration)
    private val withdrawKey = ConfigurationEdit.WithdrawKey(clinic.workspace, clinicKey)
    private val raiseRate = ConfigurationEdit.SetPlan(basicPlan.copy(ratePerS = 50.0))

    private fun commit(
        edit: ConfigurationEdit,
        id: String = "mine",
    ): Either<CommitError, VersionedConfiguration> = commitEdit(edit, EditId(id), execute = store::execute)

    /** Commits [edits] of other operators right before the next write. */
    private fun commitConcurrently(vararg edits: ConfigurationEdit) {
        store.beforeWrite = {
            store.beforeWrite = {}
            edits.forEachIndexed { index, edit -> commit(edit, "other-$index") }
        }
    }

    @Test
    fun `an edit is committed at the revision of its write`() {
        assertEquals(VersionedConfiguration(2, testConfiguration.applyEdit(withdrawKey).getOrNull()!!), commit(withdrawKey).getOrNull())
    }

    @Test
    fun `a concurrent edit of another entry is kept`() {
        commitConcurrently(raiseRate)
        assertEquals(3, commit(withdrawKey).getOrNull()?.revision)
        assertEquals(
            testConfiguration
                .applyEdit(raiseRate)
                .getOrNull()!!
                .applyEdit(withdrawKey)
                .getOrNull(),
            store.configuration,
        )
    }

    @Test
    fun `a concurrent edit of the same entry is reported with both values`() {
        commitConcurrently(raiseRate)
        val expected =
            CommitError.EntryChanged(
                EditedEntry.OfPlan(basicPlan.id, basicPlan),
                EditedEntry.OfPlan(basicPlan.id, raiseRate.plan),
            )
        assertEquals(expected, commit(ConfigurationEdit.SetPlan(basicPlan.copy(burst = 5))).leftOrNull())
    }

    @Test
    fun `an edit of an entry that changed after the operator read it is reported`() {
        commit(raiseRate, "other")
        val result =
            commitEdit(
                ConfigurationEdit.RemovePlan(basicPlan.id),
                EditId("mine"),
                expected = testConfiguration,
                execute = store::execute,
            )
        assertIs<CommitError.EntryChanged>(result.leftOrNull())
    }

    @Test
    fun `a lost response to a write that took effect is resolved by reading back`() {
        store.writeFaults += WriteFault.RESPONSE_LOST
        assertEquals(2, commit(withdrawKey).getOrNull()?.revision)
        assertEquals(1, store.writes)
    }

    @Test
    fun `a lost request is retried`() {
        store.writeFaults += WriteFault.REQUEST_LOST
        assertEquals(2, commit(withdrawKey).getOrNull()?.revision)
    }

    @Test
    fun `a lost response is resolved even if another operator reverted the edit in the meantime`() {
        store.writeFaults += WriteFault.RESPONSE_LOST
        var reads = 0
        val result =
            commitEdit(withdrawKey, EditId("mine")) { call ->
                if (++reads == 3) commit(ConfigurationEdit.GrantKey(clinic.workspace, clinicKey), "other")
                store.execute(call)
            }
        assertEquals(3, result.getOrNull()?.revision)
        assertEquals(testConfiguration, store.configuration)
    }

    @Test
    fun `a lost response that cannot be resolved by reading back is reported as an unknown outcome`() {
        store.writeFaults += WriteFault.RESPONSE_LOST
        store.beforeWrite = { store.failsReads = true }
        assertIs<CommitError.OutcomeUnknown>(commit(withdrawKey).leftOrNull())
        store.failsReads = false
        assertEquals(2, commit(withdrawKey).getOrNull()?.revision, "the same edit id takes effect once")
    }

    @Test
    fun `the outcome of a lost request is unknown after too many later edits`() {
        store.beforeWrite = {
            store.beforeWrite = {}
            repeat(ConfigurationDocument.MAX_RECENT_EDITS + 1) {
                commit(ConfigurationEdit.SetPlan(basicPlan.copy(burst = 100 + it)), "other-$it")
            }
            store.writeFaults += WriteFault.REQUEST_LOST
        }
        assertIs<CommitError.OutcomeUnknown>(commit(withdrawKey).leftOrNull())
    }

    @Test
    fun `an unavailable store is reported as not written`() {
        store.failsReads = true
        assertIs<CommitError.NotWritten>(commit(withdrawKey).leftOrNull())
    }

    @Test
    fun `concurrent edits with lost requests and responses are neither lost nor applied twice`() {
        repeat(SEED_COUNT) { seed ->
            val random = Random(seed)
            val store = FakeConfigurationStore(testConfiguration)
            val committed = mutableSetOf<KeyHash>()
            store.beforeWrite = {
                store.writeFaults += WriteFault.entries.random(random)
                if (random.nextInt(3) == 0) grantWithoutFaults(store, "other-$seed-${store.writes}", committed)
            }
            repeat(10) { number ->
                val hash = KeyHash.of("key-$number")
                val edit = ConfigurationEdit.GrantKey(pharmacy.workspace, hash)
                val result = commitEdit(edit, EditId("mine-$number"), maxAttempts = 50, execute = store::execute)
                assertTrue(result.isRight(), "seed $seed: expected a commit, got $result")
                committed += hash
            }
            val actual =
                store.configuration.customers
                    .single { it.workspace == pharmacy.workspace }
                    .keyHashes
            assertEquals(committed, actual, "seed $seed")
            assertEquals(committed.size, store.writes, "seed $seed: expected one write for each edit")
        }
    }

    private fun grantWithoutFaults(
        store: FakeConfigurationStore,
        name: String,
        committed: MutableSet<KeyHash>,
    ) {
        val savedBeforeWrite = store.beforeWrite
        store.beforeWrite = {}
        val faults = store.writeFaults.toList()
        store.writeFaults.clear()
        commitEdit(ConfigurationEdit.GrantKey(pharmacy.workspace, KeyHash.of(name)), EditId(name), execute = store::execute)
        committed += KeyHash.of(name)
        store.writeFaults += faults
        store.beforeWrite = savedBeforeWrite
    }

    private companion object {
        const val SEED_COUNT = 200
    }
}
