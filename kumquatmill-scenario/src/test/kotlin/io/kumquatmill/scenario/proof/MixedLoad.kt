package io.kumquatmill.scenario.proof

import io.kumquatmill.scenario.script.ScenarioBuilder

/** Load of eight workspaces, a few of them large, in all regions and on all kinds of routes of `batalik`, each within its plan. */
fun ScenarioBuilder.mixedLoad() {
    load("hospital", region = "zapad", route = "status", ratePerS = 60.0)
    load("hospital", region = "stred", route = "status", ratePerS = 40.0)
    load("clinics", region = "vychod", route = "status", ratePerS = 50.0)
    load("clinics", region = "vychod", route = "urgent-order", ratePerS = 6.0)
    load("pharmacy-1", region = "zapad", route = "standing-order", ratePerS = 4.0)
    load("pharmacy-2", region = "stred", route = "status", ratePerS = 3.0)
    load("pharmacy-3", region = "vychod", route = "status", ratePerS = 3.0)
    load("audiologist-1", region = "zapad", route = "urgent-order", ratePerS = 1.0)
    load("audiologist-2", region = "stred", route = "standing-order", ratePerS = 2.0)
    load("carers", region = "stred", route = "status", ratePerS = 5.0)
    load(workspace = null, region = "vychod", route = "opening-hours", ratePerS = 2.0)
}

/** Load of four workspaces in all regions and on all kinds of routes of `atlas`, each within its plan. */
fun ScenarioBuilder.atlasLoad() {
    load("dealers", region = "casablanca", route = "catalogue", ratePerS = 60.0)
    load("dealers", region = "fes", route = "booking", ratePerS = 10.0)
    load("museum", region = "marrakech", route = "catalogue", ratePerS = 40.0)
    load("collectors", region = "marrakech", route = "deposit", ratePerS = 5.0)
    load("souk", region = "fes", route = "catalogue", ratePerS = 5.0)
    load(workspace = null, region = "casablanca", route = "news", ratePerS = 2.0)
}
