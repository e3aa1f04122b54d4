package io.kumquatmill.traffic.placement

import io.kumquatmill.traffic.fleet.FleetView
import io.kumquatmill.traffic.fleet.SharedLoad
import io.kumquatmill.traffic.fleet.WorkerTag
import io.kumquatmill.traffic.host
import io.kumquatmill.traffic.report
import io.kumquatmill.traffic.steeringState
import io.kumquatmill.traffic.worker
import io.kumquatmill.traffic.workerRegistry
import kotlin.test.Test
import kotlin.test.assertEquals

class SharedLoadsTest {
    private class Fixture(
        hosts: Int = 21,
        settings: PlacementSettings = PlacementSettings(),
    ) {
        val entries = (1..20).map { worker("e$it") }
        private val fleet = FleetView(host("h1")).apply { updateHosts(0, (2..hosts).map { host("h$it") }) }
        private val registry = workerRegistry(fleet, settings)
        val loads = SharedLoads("east", fleet, registry, settings)

        init {
            registry.update(0, steeringState(entries), listOf("h1"))
        }

        fun worker(number: Int): TrackedWorker = registry.all().first { it.entry.id.value == "e$number" }

        fun receive(
            nowMs: Long,
            vararg shared: Pair<Int, SharedLoad>,
            zone: String = "east-a",
        ) = loads.onReport(
            nowMs,
            report(host("h2", zone)).copy(workerLoads = shared.associate { (number, load) -> WorkerTag.of(entries[number - 1]) to load }),
        )
    }

    @Test
    fun `a load of a peer counts with its age, unless a newer one is known`() {
        val fixture = Fixture()
        fixture.receive(10_000, 1 to SharedLoad(6, ageMs = 750))
        assertEquals(3.0, fixture.worker(1).load(10_000))
        fixture.receive(10_000, 1 to SharedLoad(20, ageMs = 800))
        assertEquals(3.0, fixture.worker(1).load(10_000))
        fixture.worker(1).onLoadReport(10_100, 2)
        fixture.receive(10_150, 1 to SharedLoad(20, ageMs = 100))
        assertEquals(2.0, fixture.worker(1).load(10_100))
        assertEquals(1, fixture.loads.usedCount)
    }

    /** Guards against requests of this host that are counted twice, as in flight and as a part of the load of other hosts. */
    @Test
    fun `requests of this host that were at the worker then are not counted twice`() {
        val fixture = Fixture()
        listOf(9_000L, 9_100, 9_900).forEach { fixture.worker(1).onSent(it, null) }
        fixture.receive(10_000, 1 to SharedLoad(2, ageMs = 500))
        assertEquals(3.0, fixture.worker(1).load(10_000))
    }

    @Test
    fun `loads are not shared in a small fleet, when it is off, or by hosts of other regions`() {
        val off = PlacementSettings(sharedLoadsPerReport = 0)
        listOf(Fixture(hosts = 20) to "east-a", Fixture(settings = off) to "east-a", Fixture() to "west-a").forEach { (fixture, zone) ->
            fixture.receive(10_000, 1 to SharedLoad(9, 0), zone = zone)
            assertEquals(0.0, fixture.worker(1).load(10_000), "zone $zone")
        }
        listOf(Fixture(hosts = 20), Fixture(settings = off)).forEach {
            it.loads.onReported(10_000, it.worker(1), 3)
            assertEquals(emptyMap(), it.loads.ownLoads(10_000))
        }
    }

    @Test
    fun `a report has the newest loads since about the last one, at most 16`() {
        val fixture = Fixture()
        (1..20).forEach { fixture.loads.onReported(10_000L + it, fixture.worker(it), it.toLong()) }
        fixture.loads.onReported(10_030, fixture.worker(7), 70)
        val expected = (5..20).filter { it != 7 }.associate { WorkerTag.of(fixture.entries[it - 1]) to SharedLoad(it, 30L - it) }
        assertEquals(expected + (WorkerTag.of(fixture.entries[6]) to SharedLoad(70, 0)), fixture.loads.ownLoads(10_030))
        assertEquals(emptyMap(), fixture.loads.ownLoads(12_000))
        (1..20).forEach { fixture.receive(13_000, *(1..20).map { number -> number to SharedLoad(8, 0) }.toTypedArray()) }
        assertEquals(16, (1..20).count { fixture.worker(it).load(13_000) > 0 }, "workers whose load a report of 20 has set")
    }

    @Test
    fun `a load of a worker that is not known, or has started again, has no effect`() {
        val fixture = Fixture()
        val restarted = worker("e1", startedAtMs = 2)
        fixture.loads.onReport(9, report(host("h2")).copy(workerLoads = mapOf(WorkerTag.of(restarted) to SharedLoad(Int.MAX_VALUE, 0))))
        assertEquals(0.0, fixture.worker(1).load(9))
    }
}
