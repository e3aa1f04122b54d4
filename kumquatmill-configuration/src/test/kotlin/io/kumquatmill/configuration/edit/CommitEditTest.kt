package io.kumquatmill.configuration.edit

import arrow.core.Either
import io.kumquatmill.configuration.basicPlan
import io.kumquatmill.configuration.clinic
import io.kumquatmill.configuration.clinicKey
import io.kumquatmill.configuration.json.ListsDocument
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.VersionedLists
import io.kumquatmill.configuration.pharmacy
import io.kumquatmill.configuration.testLists
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class CommitEditTest {
    private val store = FakeListsStore(testLists)
    private val withdraw = ListEdit.WithdrawKey(clinic.workspace, clinicKey)
    private val raise = ListEdit.SetPlan(basicPlan.copy(ratePerS = 50.0))

    private fun commit(
        edit: ListEdit,
        id: String = "mine",
    ): Either<CommitError, VersionedLists> = commitEdit(edit, EditId(id), execute = store::execute)

    /** Lets other operators make [edits] just before the next write. */
    private fun raceWith(vararg edits: ListEdit) {
        store.beforeWrite = {
            store.beforeWrite = {}
            edits.forEachIndexed { index, edit -> commit(edit, "other-$index") }
        }
    }

    @Test
    fun `an edit is committed at the revision of its write`() {
        assertEquals(VersionedLists(2, testLists.edited(withdraw).getOrNull()!!), commit(withdraw).getOrNull())
    }

    @Test
    fun `an edit of another entry that came first is kept`() {
        raceWith(raise)
        assertEquals(3, commit(withdraw).getOrNull()?.revision)
        assertEquals(
            testLists
                .edited(raise)
                .getOrNull()!!
                .edited(withdraw)
                .getOrNull(),
            store.lists,
        )
    }

    @Test
    fun `an edit of the same entry that came first is reported with both values`() {
        raceWith(raise)
        val expected =
            CommitError.EntryChanged(
                EditedEntry.OfPlan(basicPlan.id, basicPlan),
                EditedEntry.OfPlan(basicPlan.id, raise.plan),
            )
        assertEquals(expected, commit(ListEdit.SetPlan(basicPlan.copy(burst = 5))).leftOrNull())
    }

    @Test
    fun `an edit of an entry that changed after the operator saw it is reported`() {
        commit(raise, "other")
        val result = commitEdit(ListEdit.RemovePlan(basicPlan.id), EditId("mine"), seen = testLists, execute = store::execute)
        assertIs<CommitError.EntryChanged>(result.leftOrNull())
    }

    @Test
    fun `a lost answer of a write that took effect is resolved by reading back`() {
        store.writeFaults += WriteFault.ANSWER_LOST
        assertEquals(2, commit(withdraw).getOrNull()?.revision)
        assertEquals(1, store.writes)
    }

    @Test
    fun `a lost call is made again`() {
        store.writeFaults += WriteFault.CALL_LOST
        assertEquals(2, commit(withdraw).getOrNull()?.revision)
    }

    @Test
    fun `a lost answer is resolved even when another operator reverted the edit meanwhile`() {
        store.writeFaults += WriteFault.ANSWER_LOST
        var reads = 0
        val result =
            commitEdit(withdraw, EditId("mine")) { call ->
                if (++reads == 3) commit(ListEdit.GrantKey(clinic.workspace, clinicKey), "other")
                store.execute(call)
            }
        assertEquals(3, result.getOrNull()?.revision)
        assertEquals(testLists, store.lists)
    }

    @Test
    fun `a lost answer that can not be read back is reported as unknown`() {
        store.writeFaults += WriteFault.ANSWER_LOST
        store.beforeWrite = { store.readsFail = true }
        assertIs<CommitError.OutcomeUnknown>(commit(withdraw).leftOrNull())
        store.readsFail = false
        assertEquals(2, commit(withdraw).getOrNull()?.revision, "the same edit id takes effect once")
    }

    @Test
    fun `a lost call is unknown once too many edits have followed`() {
        store.beforeWrite = {
            store.beforeWrite = {}
            repeat(ListsDocument.MAX_RECENT_EDITS + 1) { commit(ListEdit.SetPlan(basicPlan.copy(burst = 100 + it)), "other-$it") }
            store.writeFaults += WriteFault.CALL_LOST
        }
        assertIs<CommitError.OutcomeUnknown>(commit(withdraw).leftOrNull())
    }

    @Test
    fun `a store that is down is reported as not written`() {
        store.readsFail = true
        assertIs<CommitError.NotWritten>(commit(withdraw).leftOrNull())
    }

    @Test
    fun `racing operators with lost answers lose and double no edit`() {
        repeat(SEEDS) { seed ->
            val random = Random(seed)
            val store = FakeListsStore(testLists)
            val committed = mutableSetOf<KeyHash>()
            store.beforeWrite = {
                store.writeFaults += WriteFault.entries.random(random)
                if (random.nextInt(3) == 0) grantDirectly(store, "other-$seed-${store.writes}", committed)
            }
            repeat(10) { number ->
                val hash = KeyHash.of("key-$number")
                val edit = ListEdit.GrantKey(pharmacy.workspace, hash)
                val result = commitEdit(edit, EditId("mine-$number"), maxAttempts = 50, execute = store::execute)
                assertTrue(result.isRight(), "seed $seed: expected a commit, got $result")
                committed += hash
            }
            val actual =
                store.lists.customers
                    .single { it.workspace == pharmacy.workspace }
                    .keyHashes
            assertEquals(committed, actual, "seed $seed")
            assertEquals(committed.size, store.writes, "seed $seed: one write for each edit")
        }
    }

    private fun grantDirectly(
        store: FakeListsStore,
        name: String,
        committed: MutableSet<KeyHash>,
    ) {
        val before = store.beforeWrite
        store.beforeWrite = {}
        val faults = store.writeFaults.toList()
        store.writeFaults.clear()
        commitEdit(ListEdit.GrantKey(pharmacy.workspace, KeyHash.of(name)), EditId(name), execute = store::execute)
        committed += KeyHash.of(name)
        store.writeFaults += faults
        store.beforeWrite = before
    }

    private companion object {
        const val SEEDS = 200
    }
}
