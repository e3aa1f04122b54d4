package io.kumquatmill.traffic.ratelimit

import kotlin.math.min

/**
 * Tokens of one workspace that this host has borrowed from peers.
 *
 * Loans serve a workspace whose callers suddenly all use one host while its peers hold tokens without demand for them. The lender
 * takes tokens out of its bucket before it sends them, so loans never increase the total; the tokens of a lost message are lost.
 * Borrowed tokens expire soon, because they would otherwise add to the tokens that the lender refills in the meantime.
 */
internal class BorrowedTokens(
    private val settings: RateLimitSettings,
) {
    private class PendingRequest(
        val lender: String,
        val sentAtMs: Long,
    )

    private var tokens = 0.0
    private var expiresAtMs = Long.MIN_VALUE
    private var requestedAtMs = Long.MIN_VALUE / 2
    private val pendingRequests = HashMap<Long, PendingRequest>()
    private val lastRequestByLender = HashMap<String, Long>()

    /** Returns a separate copy. */
    fun copy(): BorrowedTokens =
        BorrowedTokens(settings).also {
            it.tokens = tokens
            it.expiresAtMs = expiresAtMs
            it.requestedAtMs = requestedAtMs
            it.pendingRequests += pendingRequests
            it.lastRequestByLender += lastRequestByLender
        }

    /** Returns whether a new loan request may be sent, as the previous ones have had time to be answered. */
    fun mayRequest(nowMs: Long): Boolean = nowMs - requestedAtMs >= settings.loanRequestIntervalMs

    /** Returns whether a pending loan request may still be answered. */
    fun hasPendingRequest(nowMs: Long): Boolean = pendingRequests.values.any { nowMs - it.sentAtMs < settings.loanRequestIntervalMs }

    /** Returns how long the latest pending loan request may still be answered in time for a waiting request, in milliseconds. */
    fun pendingMs(nowMs: Long): Long = pendingRequests.values.maxOfOrNull { it.sentAtMs + settings.loanWaitMs - nowMs } ?: 0

    /** Returns the number of the last request to [lender], or 0 if there was none; lenders are asked in turn. */
    fun lastRequestTo(lender: String): Long = lastRequestByLender[lender] ?: 0

    /** Records that the request with [number] was sent to the host named [lender]. */
    fun onRequested(
        nowMs: Long,
        number: Long,
        lender: String,
    ) {
        pendingRequests.values.removeIf { nowMs - it.sentAtMs > settings.loanTtlMs }
        requestedAtMs = nowMs
        pendingRequests[number] = PendingRequest(lender, nowMs)
        lastRequestByLender[lender] = number
    }

    /** Adds the tokens of [grant]. A grant without a pending request, such as a duplicate, is ignored. */
    fun onGrant(
        nowMs: Long,
        grant: LoanGrant,
    ) {
        val request = pendingRequests[grant.number]
        if (request == null || request.lender != grant.lender || nowMs - request.sentAtMs > settings.loanTtlMs) return
        pendingRequests.remove(grant.number)
        if (grant.tokens <= 0) return
        tokens = available(nowMs) + grant.tokens
        expiresAtMs = nowMs + settings.loanTtlMs
    }

    /** Returns the number of tokens that have not been used and have not expired. */
    fun available(nowMs: Long): Double = if (nowMs <= expiresAtMs) tokens else 0.0

    /** Takes one token and returns whether there was one. */
    fun tryTake(nowMs: Long): Boolean {
        if (available(nowMs) < 1) return false
        tokens = min(tokens, available(nowMs)) - 1
        return true
    }
}
