package io.kumquatmill.traffic.placement

/** Result of a [Placement]. */
sealed interface PlacementChoice {
    /** The request goes to [track], where it is expected to wait [waitMs] and to run [runMs]. */
    data class Chosen(
        val track: WorkerTrack,
        val waitMs: Double,
        val runMs: Double,
    ) : PlacementChoice

    /** All workers are busy beyond what the request may wait; there should be room after [roomAfterMs]. */
    data class NoRoom(
        val roomAfterMs: Long,
    ) : PlacementChoice

    /** No worker may get the request. */
    data object NoWorker : PlacementChoice
}
