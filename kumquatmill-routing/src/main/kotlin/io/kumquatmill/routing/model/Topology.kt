package io.kumquatmill.routing.model

/** The routes, workers and inter-region links configured for an entry host, and the limit on shifts between regions. */
data class Topology(
    val routes: List<Route>,
    val workers: List<Worker>,
    val links: List<Link>,
    val shiftCap: ShiftCap,
)
