package io.kumquatmill.scenario.virtual

/** How a virtual worker behaves; assign a copy to change it while the scenario runs. */
data class WorkerBehaviour(
    val serviceTimeMs: Long = 40,
    val serviceSpreadMs: Long = 20,
    val slownessFactor: Double = 1.0,
    val isDead: Boolean = false,
    val isSilent: Boolean = false,
    val isDraining: Boolean = false,
    val cutsAnswers: Boolean = false,
    val answerDelayMs: Long = 0,
    val answerBytes: Long = 4_000,
    val reportsIdle: Boolean = false,
)
