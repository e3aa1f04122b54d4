package io.kumquatmill.node.request

import io.kumquatmill.common.id.AttemptId
import io.kumquatmill.routing.model.Worker

/**
 * An attempt that was sent to [worker] and has not ended yet.
 *
 * For a worker in another region, link capacity was taken for [expectedResponseBytes].
 */
internal data class ActiveAttempt(
    val id: AttemptId,
    val worker: Worker,
    val sentAtMs: Long,
    val deadlineAtMs: Long,
    val expectedResponseBytes: Long,
)
