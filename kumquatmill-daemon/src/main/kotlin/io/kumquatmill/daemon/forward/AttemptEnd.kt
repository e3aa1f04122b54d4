package io.kumquatmill.daemon.forward

import io.kumquatmill.node.event.AttemptResult
import org.http4k.core.Response

/** The end of an attempt and, if it was answered, the answer to keep. */
internal class AttemptEnd(
    val result: AttemptResult,
    val answer: Response? = null,
)
