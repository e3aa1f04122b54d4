package io.kumquatmill.daemon.forward

import io.kumquatmill.node.event.AttemptResult
import org.http4k.core.Response

/** Result of a completed attempt. [response] is the complete response, or null unless [result] is [AttemptResult.Answered]. */
internal class CompletedAttempt(
    val result: AttemptResult,
    val response: Response? = null,
)
