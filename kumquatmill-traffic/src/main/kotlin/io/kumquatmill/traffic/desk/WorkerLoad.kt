package io.kumquatmill.traffic.desk

/** Load that a worker tells with an answer, in requests. */
data class WorkerLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
)
