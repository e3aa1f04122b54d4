package io.kumquatmill.routing.model

/** Workers, routes and links that an entry host may use, from its settings. */
data class Topology(
    val routes: List<Route>,
    val workers: List<Worker>,
    val links: List<Link>,
    val shiftCap: ShiftCap,
)
