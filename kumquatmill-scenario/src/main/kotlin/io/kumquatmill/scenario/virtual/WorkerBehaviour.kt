package io.kumquatmill.scenario.virtual

/**
 * Behaviour of a simulated worker, including its faults.
 *
 * A run takes [serviceTimeMs] plus a random time of up to [serviceSpreadMs], multiplied by [slownessFactor]. A worker that
 * [isDead] refuses connections. One that [isSilent] neither responds nor reports its load, and one that [isDraining] sheds new
 * requests. With [truncatesResponses], the entry host receives no complete response. With [reportsIdle], load reports show no
 * busy slots.
 */
data class WorkerBehaviour(
    val serviceTimeMs: Long = 40,
    val serviceSpreadMs: Long = 20,
    val slownessFactor: Double = 1.0,
    val isDead: Boolean = false,
    val isSilent: Boolean = false,
    val isDraining: Boolean = false,
    val truncatesResponses: Boolean = false,
    val responseDelayMs: Long = 0,
    val responseBytes: Long = 4_000,
    val reportsIdle: Boolean = false,
)
