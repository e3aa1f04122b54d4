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
    ): Boolean = workspace == null || ledger.isAvailable(nowMs, rateLimitId(workspace))

    /** Takes a rate token of [workspace]; null has no rate limit. */
    fun tryTakeRateToken(
        nowMs: Long,
        workspace: WorkspaceId?,
    ): TakeResult = if (workspace == null) TakeResult.Taken else ledger.tryTake(nowMs, rateLimitId(workspace))

    /** Returns a rate token that was taken for an attempt that reached no worker. */
    fun refundRateToken(
        nowMs: Long,
        workspace: WorkspaceId?,
    ) {
        if (workspace != null) ledger.release(nowMs, rateLimitId(workspace))
    }

    fun tryTakeSlot(
        nowMs: Long,
        worker: WorkerId,
    ): Boolean = ledger.tryTake(nowMs, slotLimitId(worker)) == TakeResult.Taken

    fun releaseSlot(
        nowMs: Long,
        worker: WorkerId,
    ) = ledger.release(nowMs, slotLimitId(worker))

    /** Returns the number of slots of [worker] that this host may use now. */
    fun usableSlots(
        nowMs: Long,
        worker: WorkerId,
    ): Int = ledger.units(nowMs, slotLimitId(worker)).toInt()

    /** Takes link capacity for the bytes of [reservation] in both directions, or none. A denial in either direction counts as demand. */
    fun tryTakeLink(
        nowMs: Long,
        reservation: LinkReservation,
    ): Boolean {
        val requestLimit = linkLimitId(reservation.from, reservation.to)
        val responseLimit = linkLimitId(reservation.to, reservation.from)
        if (!ledger.isAvailable(nowMs, responseLimit, reservation.responseBytes)) {
            ledger.tryTake(nowMs, responseLimit, reservation.responseBytes)
            return false
        }
        if (ledger.tryTake(nowMs, requestLimit, reservation.requestBytes) != TakeResult.Taken) return false
        return ledger.tryTake(nowMs, responseLimit, reservation.responseBytes) == TakeResult.Taken
    }

    /** Charges response bytes beyond the estimate for which link capacity was taken. */
    fun chargeLink(
        nowMs: Long,
        from: RegionId,
        to: RegionId,
        extraBytes: Long,
    ) {
        if (extraBytes > 0) ledger.charge(nowMs, linkLimitId(from, to), extraBytes)
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
