package io.kumquatmill.scenario.proof

import io.kumquatmill.scenario.script.*
import io.kumquatmill.scenario.virtual.defaultNodes
import kotlin.test.Test
import kotlin.time.Duration.Companion.seconds

class ExploreTest {
    private fun run(name: String, seconds: Int = 40, build: ScenarioBuilder.() -> Unit) {
        val started = System.nanoTime()
        val scenario = scenario(name) { mixedLoad(); lasts(seconds.seconds); build() }
        val reasons = sortedMapOf<String, Int>()
        val result = scenario.run(3, defaultNodes(), onDecision = { t, h, d -> if (d.outcome == "not-run" && name.startsWith("cut vychod")) reasons.merge("${t / 5000 * 5} $h ${d.reason} ${d.route} ${d.workspace}", 1, Int::plus) })
        if (reasons.isNotEmpty()) println(reasons)
        val wrongful = result.wrongfulRefusals(scenario.lists)
        println("   wrongful ${wrongful.size}: ${wrongful.groupingBy { "${it.load.workspace} ${it.load.region} ${it.load.route} ${(it.startedAtMs - result.warmUpMs) / 5000 * 5}s ${it.outcome}" }.eachCount().entries.take(12)}")
        println("   p99 by ws " + result.callsBetween(10_000, 100_000).groupBy { it.load.workspace }.mapValues { it.value.latencyMs(0.99) })
        val before = result.callsBetween(0, 10_000)
        val during = result.callsBetween(10_000, 20_000)
        val after = result.callsBetween(20_000, seconds * 1000L)
        println("== $name: ${result.calls.size} calls, refused before %.4f during %.4f after %.4f p99 ${during.latencyMs(0.99)}/${after.latencyMs(0.99)}  [${(System.nanoTime() - started) / 1_000_000} ms]".format(before.refusedFraction(), during.refusedFraction(), after.refusedFraction()))
        println("   ${result.outcomeCounts()}")
        result.violations.groupBy { it.invariant }.forEach { (n, v) -> println("   VIOLATION $n x${v.size}: ${v.take(2)}") }
    }

    @Test
    fun soak() {
        val bad = (1L..120L).toList().parallelStream().map { seed ->
            val result = scenario("random") {
                if (seed % 2 == 0L) deployment = io.kumquatmill.scenario.deployment.batalik()
                mixedLoad(); randomFaults(seed, 6); lasts(55.seconds) }.run(seed, defaultNodes())
            seed to result
        }.toList()
        val end = bad.map { (_, r) -> r.callsBetween(50_000, 55_000).refusedFraction() }.sorted()
        println("refused at end: median ${end[end.size / 2]} max ${end.last()}")
        bad.filter { it.second.violations.isNotEmpty() }.forEach { (seed, r) ->
            r.violations.groupBy { it.invariant }.forEach { (n, v) -> println("seed $seed VIOLATION $n x${v.size}: ${v.take(2)}") }
        }
        println("seeds with violations: ${bad.count { it.second.violations.isNotEmpty() }} of ${bad.size}")
    }

    @Test
    fun explore() {
        run("healthy") {}
        run("kill") { at(10.seconds) { kill("h1") } }
        run("kill and restart") { at(10.seconds) { kill("h1") }; at(12.seconds) { start("h1") } }
        run("freeze") { at(10.seconds) { freeze("h1") }; at(22.seconds) { thaw("h1") } }
        run("short freeze") { at(10.seconds) { freeze("h1") }; at(13.seconds) { thaw("h1") } }
        run("cut vychod", 60) { at(10.seconds) { cutRegion("vychod") }; at(40.seconds) { healRegion("vychod") } }
        run("cut zapad", 60) { at(10.seconds) { cutRegion("zapad") }; at(40.seconds) { healRegion("zapad") } }
        run("store down", 80) { at(10.seconds) { storeDown() }; at(60.seconds) { storeUp() } }
        run("store slow", 60) { at(10.seconds) { storeSlow(900) }; at(40.seconds) { storeSlow(0) } }
        run("store slow 3s", 60) { at(10.seconds) { storeSlow(3000) }; at(40.seconds) { storeSlow(0) } }
        run("cut h3 from store") { at(10.seconds) { cutFromStore("h3") } }
        run("peers lossy") { at(10.seconds) { peers(0.2, 0.2, 50) } }
        run("drain workers") { at(10.seconds) { for (i in 1..6) drainWorker("status-$i") } }
        run("kill workers") { at(10.seconds) { for (i in 1..6) killWorker("status-$i") } }
        run("silent worker") { at(10.seconds) { worker("status-1") { copy(isSilent = true) } } }
        run("slow worker") { at(10.seconds) { worker("status-1") { copy(slownessFactor = 20.0) } } }
        run("cut answers") { at(10.seconds) { worker("status-1") { copy(cutsAnswers = true) } } }
        run("kill region vychod", 60) { at(10.seconds) { killRegion("vychod") } }
        run("kill region zapad", 60) { at(10.seconds) { killRegion("zapad"); storeDown() } }
        run("planned stop") { at(10.seconds) { stop("h1") } }
        run("withdraw") { at(10.seconds) { withdrawKeys("clinics") } }
        run("five times") { at(10.seconds) { rate("hospital", 5.0) } }
        run("store down and kill", 60) { at(10.seconds) { storeDown() }; at(12.seconds) { kill("h2") } }
    }
}
