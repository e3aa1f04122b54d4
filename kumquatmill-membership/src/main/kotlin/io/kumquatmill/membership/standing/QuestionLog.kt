package io.kumquatmill.membership.standing

/** Times of sending of the last questions by nonce, so that answers to others count for nothing. */
internal class QuestionLog {
    private val sentAtMs = LinkedHashMap<Long, Long>()

    fun add(
        nonce: Long,
        nowMs: Long,
    ) {
        sentAtMs[nonce] = nowMs
        if (sentAtMs.size > MAX_QUESTIONS) sentAtMs.remove(sentAtMs.keys.first())
    }

    /** Returns when the question of [nonce] was sent, or null if it was not, or too long ago. */
    fun sentAtMs(nonce: Long): Long? = sentAtMs[nonce]

    private companion object {
        const val MAX_QUESTIONS = 32
    }
}
