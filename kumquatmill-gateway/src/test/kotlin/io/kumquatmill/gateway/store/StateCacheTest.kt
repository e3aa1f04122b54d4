package io.kumquatmill.gateway.store

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class StateCacheTest {
    private val keys = StateKeys("d", "evacuate/", "workers/", "hosts/", listOf(""))
    private val cache = StateCache(keys, PlainTextStateDecoder)

    private fun put(
        key: String,
        value: String,
        revision: Long,
        nowMs: Long = 0,
    ) = cache.onChanges(nowMs, listOf(StoreChange(key, value, revision)))

    private fun delete(
        key: String,
        revision: Long,
        nowMs: Long = 0,
    ) = cache.onChanges(nowMs, listOf(StoreChange(key, null, revision)))

    private fun confirm(nowMs: Long) {
        cache.onStoreAsked(nowMs)
        cache.onStoreAnswered()
    }

    private fun workers() =
        cache
            .state()
            .workers.keys
            .map { it.value }
            .toSet()

    @Test
    fun `an older snapshot does not restore entries that a newer one lacked`() {
        cache.onSnapshot(0, "", emptyList(), 30)
        cache.onSnapshot(10, "", listOf(StoreEntry("workers/w1", "ready", 20)), 22)
        assertEquals(emptySet(), workers())
        put("workers/w1", "ready", 31)
        assertEquals(setOf("w1"), workers())
    }

    @Test
    fun `an older revision never replaces a newer one whatever its source`() {
        put("workers/a", "draining", 10)
        cache.onSnapshot(0, "", listOf(StoreEntry("workers/a", "ready", 5)), 8)
        assertEquals(true, cache.state().workers[WorkerId("a")]?.isDraining)
    }

    @Test
    fun `a deleted entry does not come back from an older snapshot`() {
        put("workers/a", "ready", 3)
        delete("workers/a", 10)
        cache.onSnapshot(0, "", listOf(StoreEntry("workers/a", "ready", 3)), 8)
        assertEquals(emptySet(), workers())
    }

    @Test
    fun `a snapshot removes the entries that it lacks unless they are newer`() {
        put("workers/a", "ready", 3)
        put("workers/b", "ready", 9)
        cache.onSnapshot(0, "", emptyList(), 5)
        assertEquals(setOf("b"), workers())
    }

    @Test
    fun `an unreadable worker entry is ignored and an unreadable desired state keeps the previous one`() {
        put("workers/a", "broken", 3)
        put("d", "7", 4)
        put("d", "nonsense", 5)
        assertEquals(emptySet(), workers())
        assertEquals(7, cache.state().desired?.version)
    }

    @Test
    fun `a worker whose entry disappears while the store is available is removed at once`() {
        put("workers/a", "ready", 3)
        delete("workers/a", 4)
        assertEquals(emptySet(), workers())
    }

    @Test
    fun `a worker whose entry disappears around an outage is kept for two seconds after the store recovers`() {
        put("workers/a", "ready", 3)
        cache.onOutage()
        cache.onOutageEnd(1_000)
        delete("workers/a", 4, nowMs = 1_100)
        assertEquals(setOf("a"), workers())
        assertEquals(false, cache.expireGracePeriods(2_900))
        assertEquals(true, cache.expireGracePeriods(3_000))
        assertEquals(emptySet(), workers())
    }

    @Test
    fun `a draining worker whose entry disappears around an outage is not kept`() {
        put("workers/a", "draining", 3)
        cache.onOutage()
        cache.onOutageEnd(1_000)
        delete("workers/a", 4, nowMs = 1_100)
        assertEquals(emptySet(), workers())
    }

    @Test
    fun `a zone is evacuated exactly while its key exists`() {
        put("evacuate/z1", "{}", 3)
        assertEquals(setOf(AvailabilityZoneId("z1")), cache.state().evacuatedZones)
        delete("evacuate/z1", 4)
        assertEquals(emptySet(), cache.state().evacuatedZones)
    }

    private fun snapshot(
        nowMs: Long,
        revision: Long,
        vararg entries: StoreEntry,
    ) = cache.onSnapshot(nowMs, "", entries.toList(), revision)

    /** Revision that the store gives out as [number] after it came back from an older copy. */
    private fun restored(number: Long) = revisionIn(era = 1, number = number)

    @Test
    fun `a version whose revision the store gives out again is applied, and an older one of its copy is not`() {
        put("d", "7", 52)
        snapshot(1_000, restored(51), StoreEntry("d", "5", restored(40)))
        assertEquals(7, cache.state().desired?.version)
        assertEquals("7", cache.allEntries().single().value, "peers get the newer version")
        put("d", "8", restored(52))
        assertEquals(8, cache.state().desired?.version)
    }

    @Test
    fun `a version outlasts a copy that is older than the first version`() {
        put("d", "7", 52)
        snapshot(1_000, restored(20))
        assertEquals(7, cache.state().desired?.version)
        assertEquals("7", cache.allEntries().single().value)
    }

    @Test
    fun `a worker that drained does not come back as ready from an older copy, until it writes again`() {
        put("workers/a", "draining/1/9", 30)
        snapshot(1_000, restored(25), StoreEntry("workers/a", "ready/1/8", restored(20)))
        cache.expireGracePeriods(60_000)
        assertEquals(true, cache.state().workers[WorkerId("a")]?.isDraining)
        put("workers/a", "ready/2/1", restored(26))
        assertEquals(false, cache.state().workers[WorkerId("a")]?.isDraining)
    }

    @Test
    fun `a worker that left is used again only if the store still has its entry when entries of dead workers have expired`() {
        put("workers/a", "ready/1/8", 20)
        put("workers/b", "ready/1/8", 21)
        delete("workers/a", 30)
        delete("workers/b", 31)
        val copy = arrayOf(StoreEntry("workers/a", "ready/1/8", restored(20)), StoreEntry("workers/b", "ready/1/8", restored(21)))
        snapshot(1_000, restored(25), *copy)
        assertEquals(emptySet(), workers())
        delete("workers/a", restored(26), nowMs = 4_000)
        cache.onStoreAsked(4_000)
        cache.onStoreAnswered()
        cache.expireGracePeriods(6_000)
        assertEquals(emptySet(), workers(), "an answer to a call of before may have been read late")
        confirm(6_000)
        cache.expireGracePeriods(6_000)
        assertEquals(setOf("b"), workers())
    }

    @Test
    fun `a worker that did not return after an outage is not used again because an older copy has its entry`() {
        put("workers/a", "ready/1/8", 20)
        cache.onOutage()
        delete("workers/a", 30, nowMs = 500)
        cache.onOutageEnd(1_000)
        cache.expireGracePeriods(3_000)
        snapshot(4_000, restored(25), StoreEntry("workers/a", "ready/1/8", restored(20)))
        assertEquals(emptySet(), workers())
    }

    @Test
    fun `a worker that started again or said more since is used at once`() {
        put("workers/a", "ready/1/8", 20)
        put("workers/b", "ready/1/8", 21)
        delete("workers/a", 30)
        delete("workers/b", 31)
        val written = arrayOf(StoreEntry("workers/a", "ready/2/1", restored(26)), StoreEntry("workers/b", "ready/1/9", restored(27)))
        snapshot(1_000, restored(27), *written)
        assertEquals(setOf("a", "b"), workers())
    }

    @Test
    fun `a worker that an older copy lacks is kept for two seconds, in which a live worker writes its entry again`() {
        put("workers/a", "ready", 30)
        put("workers/b", "ready", 31)
        snapshot(1_000, restored(25))
        assertEquals(setOf("a", "b"), workers())
        put("workers/a", "ready", restored(26), nowMs = 2_000)
        cache.expireGracePeriods(3_000)
        assertEquals(setOf("a"), workers())
    }

    @Test
    fun `an evacuated zone that an older copy lacks stays evacuated until the operator had time to write it again`() {
        put("evacuate/z1", "{}", 30)
        snapshot(1_000, restored(25))
        cache.expireGracePeriods(5_000)
        assertEquals(setOf(AvailabilityZoneId("z1")), cache.state().evacuatedZones)
        cache.expireGracePeriods(5_500)
        assertEquals(setOf(AvailabilityZoneId("z1")), cache.state().evacuatedZones, "the store has not answered since")
        confirm(5_500)
        cache.expireGracePeriods(5_500)
        assertEquals(emptySet(), cache.state().evacuatedZones)
    }

    @Test
    fun `the time to write a mark again starts anew with a second restore`() {
        put("evacuate/z1", "{}", 30)
        snapshot(1_000, restored(25))
        snapshot(5_000, revisionIn(era = 2, number = 25))
        confirm(9_000)
        cache.expireGracePeriods(9_000)
        assertEquals(setOf(AvailabilityZoneId("z1")), cache.state().evacuatedZones)
    }

    @Test
    fun `a zone that was taken back is evacuated while an older copy says so, as it may have been evacuated again`() {
        put("evacuate/z1", "{}", 20)
        delete("evacuate/z1", 30)
        snapshot(1_000, restored(25), StoreEntry("evacuate/z1", "{}", restored(20)))
        assertEquals(setOf(AvailabilityZoneId("z1")), cache.state().evacuatedZones)
        delete("evacuate/z1", restored(26))
        assertEquals(emptySet(), cache.state().evacuatedZones)
    }

    @Test
    fun `the newer version of a peer is applied although its revision is not higher, and an older or unreadable one never is`() {
        snapshot(1_000, restored(51), StoreEntry("d", "5", restored(40)))
        assertTrue(cache.onPeerDesiredState(listOf(StoreEntry("d", "7", 52))))
        assertEquals(7, cache.state().desired?.version)
        listOf("7", "6", "nonsense").forEach { assertFalse(cache.onPeerDesiredState(listOf(StoreEntry("d", it, restored(60)))), "for $it") }
        put("d", "6", restored(52))
        assertEquals(7, cache.state().desired?.version)
        put("d", "8", restored(53))
        assertEquals(8, cache.state().desired?.version)
    }

    @Test
    fun `a late snapshot from before a restore changes nothing`() {
        snapshot(1_000, restored(25), StoreEntry("d", "7", restored(24)), StoreEntry("workers/a", "ready", restored(25)))
        snapshot(1_100, 90, StoreEntry("workers/b", "ready", 80))
        assertEquals(setOf("a"), workers())
    }
}
