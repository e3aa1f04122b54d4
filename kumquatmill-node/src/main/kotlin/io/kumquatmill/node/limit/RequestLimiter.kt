package io.kumquatmill.node.limit

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.limits.ledger.LimitId
import io.kumquatmill.limits.ledger.ShareLedger
import io.kumquatmill.limits.ledger.TakeResult
import io.kumquatmill.routing.region.LinkReservation

/** Takes and releases the rate tokens, worker slots and link capacity of attempts in the share ledger. */
internal class RequestLimiter(
    private val ledger: ShareLedger,
) {
    /** Returns whether a rate token of [workspace] is available; always true for null, which has no rate limit. */
    fun hasRateToken(
        nowMs: Long,
        workspace: WorkspaceId?,
    ): Boolean = workspace == null || ledger.isAvailable(nowMs, rateLimit(workspace))

    /** Takes a rate token of [workspace]; null has no rate limit. */
    fun tryTakeRateToken(
        nowMs: Long,
        workspace: WorkspaceId?,
    ): TakeResult = if (workspace == null) TakeResult.Taken else ledger.tryTake(nowMs, rateLimit(workspace))

    /** Returns a rate token that was taken for an attempt that reached no worker. */
    fun refundRateToken(
        nowMs: Long,
        workspace: WorkspaceId?,
    ) {
        if (workspace != null) ledger.release(nowMs, rateLimit(workspace))
    }

    fun tryTakeSlot(
        nowMs: Long,
        worker: WorkerId,
    ): Boolean = ledger.tryTake(nowMs, slotLimit(worker)) == TakeResult.Taken

    fun releaseSlot(
        nowMs: Long,
        worker: WorkerId,
    ) = ledger.release(nowMs, slotLimit(worker))

    /** Returns the number of slots of [worker] that this host may use now. */
    fun usableSlots(
        nowMs: Long,
        worker: WorkerId,
    ): Int = ledger.units(nowMs, slotLimit(worker)).toInt()

    /** Takes link capacity for the bytes of [use] in both directions, or none. A denial in either direction counts as demand. */
    fun tryTakeLink(
        nowMs: Long,
        use: LinkReservation,
    ): Boolean {
        val requestLimit = linkLimit(use.from, use.to)
        val responseLimit = linkLimit(use.to, use.from)
        if (!ledger.isAvailable(nowMs, responseLimit, use.responseBytes)) {
            ledger.tryTake(nowMs, responseLimit, use.responseBytes)
            return false
        }
        if (ledger.tryTake(nowMs, requestLimit, use.requestBytes) != TakeResult.Taken) return false
        return ledger.tryTake(nowMs, responseLimit, use.responseBytes) == TakeResult.Taken
    }

    /** Charges response bytes beyond the estimate for which link capacity was taken. */
    fun chargeLink(
        nowMs: Long,
        from: RegionId,
        to: RegionId,
        extraBytes: Long,
    ) {
        if (extraBytes > 0) ledger.charge(nowMs, linkLimit(from, to), extraBytes)
    }

    /** Returns the fraction of all units of [limit] that this host may use now, from 0 to 1. */
    fun usableFraction(
        nowMs: Long,
        limit: LimitId,
    ): Double {
        val totalUnits = ledger.totalUnits(limit)
        return if (totalUnits == 0L) 0.0 else ledger.units(nowMs, limit).toDouble() / totalUnits
    }
}
