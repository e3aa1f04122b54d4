package io.kumquatmill.membership.standing

/** Send times of the latest requests by nonce; replies with any other nonce are ignored. */
internal class SentRequestLog {
    private val sentAtMs = LinkedHashMap<Long, Long>()

    fun add(
        nonce: Long,
        nowMs: Long,
    ) {
        sentAtMs[nonce] = nowMs
        if (sentAtMs.size > MAX_REQUESTS) sentAtMs.remove(sentAtMs.keys.first())
    }

    /** Returns when the request with [nonce] was sent, or null if it is not among the latest. */
    fun sentAtMs(nonce: Long): Long? = sentAtMs[nonce]

    private companion object {
        const val MAX_REQUESTS = 32
    }
}
