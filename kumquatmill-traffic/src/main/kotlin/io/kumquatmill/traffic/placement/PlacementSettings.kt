package io.kumquatmill.traffic.placement

/** Weights and times of the placement. Latencies are what a request pays for the way, as the platform states them. */
data class PlacementSettings(
    /** Objects that a worker is taken to keep warm: workers keep some tens, and a host sees a part of them only. */
    val warmKeysPerWorker: Int = 25,
    /** Workers of a zone that a key may use, the best ranked first; more would spread a key over workers that do not hold it. */
    val candidatesPerZone: Int = 2,
    /** Part of its slots that may be busy at a worker that takes a key it does not hold: that run is several times as long. */
    val spareSlotsPart: Double = 0.7,
    /** What the next ranked worker costs beyond its expected time, so that an idle group always serves a key at the same worker. */
    val rankStepMs: Double = 20.0,
    /** What a worker of another zone costs beyond its expected time: its bytes are charged, and its zone has callers too. */
    val otherZoneMs: Double = 40.0,
    /** Time of the way to a worker of another region and back. */
    val otherRegionMs: Double = 75.0,
    /** Work of a worker that is cold against that of the same worker later. */
    val coldFactor: Double = 2.0,
    /** Part of the region's slots that its own requests may fill before keys move to other regions. */
    val localUtilization: Double = 0.8,
    /** Most that the part of keys that stay in the region moves in a second: in a window of the cap on shifts, two fifths of the cap. */
    val localShareStepPerS: Double = 0.03,
    /** Growth of the part that spills to other regions from one window to the next, beyond that of the keys. */
    val spillStep: Double = 0.04,
    /** Length of these windows, as the cap on shifts is judged. */
    val spillWindowMs: Long = 2_000,
    /** First pause of a worker that can't be reached; it doubles up to [maxPauseMs]. */
    val firstPauseMs: Long = 500,
    val maxPauseMs: Long = 4_000,
    /** Failures in a row that pause a worker whose connections do open. */
    val failuresToPause: Int = 3,
    /** How long another host's load at a worker is believed after the worker's report of it. */
    val reportedLoadMs: Long = 1_500,
    /** Part of the time that a request has to spare that it may wait, by rank of its route, the most urgent first. */
    val waitParts: List<Double> = DEFAULT_WAIT_PARTS,
) {
    private companion object {
        val DEFAULT_WAIT_PARTS = listOf(0.9, 0.7, 0.5)
    }
}
