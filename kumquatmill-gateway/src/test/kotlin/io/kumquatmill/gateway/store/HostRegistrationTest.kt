package io.kumquatmill.gateway.store

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.kumquatmill.store.LeaseId
import io.kumquatmill.store.StoreCall
import io.kumquatmill.store.StoreError
import io.kumquatmill.store.StoreReply
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class HostRegistrationTest {
    private class PendingCall(
        val call: StoreCall,
        val onResult: (Either<StoreError, StoreReply>) -> Unit,
    )

    private val calls = ArrayDeque<PendingCall>()
    private val tasks = ArrayDeque<() -> Unit>()
    private val registration =
        HostRegistration(
            key = "hosts/h1",
            record = "{}",
            sendCall = { call, onResult -> calls.addLast(PendingCall(call, onResult)) },
            runAfter = { _, task -> tasks.addLast(task) },
            random = Random(1),
        )

    private fun reply(result: Either<StoreError, StoreReply>): StoreCall = calls.removeFirst().also { it.onResult(result) }.call

    private fun runTasks() = repeat(tasks.size) { tasks.removeFirst()() }

    private fun register(lease: Long) {
        assertIs<StoreCall.GrantLease>(reply(StoreReply.LeaseGranted(LeaseId(lease)).right()))
        assertIs<StoreCall.CompareAndSwap>(reply(StoreReply.Written(7).right()))
    }

    @Test
    fun `a host registers again after a restore of the store, and renews one lease only`() {
        registration.start()
        register(lease = 1)
        runTasks()
        val renewal = calls.removeFirst()
        registration.onStoreRestored()
        renewal.onResult(StoreReply.LeaseRenewed.right())
        runTasks()
        register(lease = 2)
        runTasks()
        assertEquals(listOf<StoreCall>(StoreCall.RenewLease(LeaseId(2))), calls.map { it.call })
    }

    @Test
    fun `a record that the copy still has is written over`() {
        registration.start()
        reply(StoreReply.LeaseGranted(LeaseId(1)).right())
        reply(StoreError.Conflict(null).left())
        assertEquals(StoreCall.CompareAndSwap("hosts/h1", StoreCall.NO_REVISION, "{}", LeaseId(1)), calls.single().call)
    }
}
