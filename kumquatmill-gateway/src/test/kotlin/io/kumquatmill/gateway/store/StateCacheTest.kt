package io.kumquatmill.gateway.store

import io.kumquatmill.common.id.AvailabilityZoneId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.store.StoreChange
import io.kumquatmill.store.StoreEntry
import kotlin.test.Test
import kotlin.test.assertEquals

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
}
