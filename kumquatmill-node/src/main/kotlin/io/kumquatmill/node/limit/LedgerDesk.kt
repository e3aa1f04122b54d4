package io.kumquatmill.node.limit

import io.kumquatmill.common.id.RegionId
import io.kumquatmill.common.id.WorkerId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.limits.ledger.LimitId
import io.kumquatmill.limits.ledger.ShareLedger
import io.kumquatmill.limits.ledger.TakeResult
import io.kumquatmill.routing.region.LinkReservation

/** Takes what an attempt needs from the share ledger, in the terms of requests. */
internal class LedgerDesk(
    private val ledger: ShareLedger,
) {
    /** Returns whether a token of [workspace] is there, or no limit applies because it is null. */
    fun hasRate(
        nowMs: Long,
        workspace: WorkspaceId?,
    ): Boolean = workspace == null || ledger.isAvailable(nowMs, rateLimit(workspace))

    /** Takes a token of [workspace]; callers without one have no rate limit of their own. */
    fun takeRate(
        nowMs: Long,
        workspace: WorkspaceId?,
    ): TakeResult = if (workspace == null) TakeResult.Taken else ledger.tryTake(nowMs, rateLimit(workspace))

    /** Gives a token back that was taken for an attempt that reached no worker. */
    fun returnRate(
        nowMs: Long,
        workspace: WorkspaceId?,
    ) {
        if (workspace != null) ledger.release(nowMs, rateLimit(workspace))
    }

    fun takeSlot(
        nowMs: Long,
        worker: WorkerId,
    ): Boolean = ledger.tryTake(nowMs, slotLimit(worker)) == TakeResult.Taken

    fun returnSlot(
        nowMs: Long,
        worker: WorkerId,
    ) = ledger.release(nowMs, slotLimit(worker))

    /** Returns the slots of [worker] that this host may use now. */
    fun heldSlots(
        nowMs: Long,
        worker: WorkerId,
    ): Int = ledger.units(nowMs, slotLimit(worker)).toInt()

    /** Takes the bytes of [use] in both directions, or none. */
    fun takeLink(
        nowMs: Long,
        use: LinkReservation,
    ): Boolean {
        val there = linkLimit(use.from, use.to)
        val back = linkLimit(use.to, use.from)
        if (!ledger.isAvailable(nowMs, back, use.responseBytes)) {
            ledger.tryTake(nowMs, back, use.responseBytes)
            return false
        }
        if (ledger.tryTake(nowMs, there, use.requestBytes) != TakeResult.Taken) return false
        return ledger.tryTake(nowMs, back, use.responseBytes) == TakeResult.Taken
    }

    /** Counts the bytes of an answer that were not foreseen when the link was taken. */
    fun chargeLink(
        nowMs: Long,
        from: RegionId,
        to: RegionId,
        extraBytes: Long,
    ) {
        if (extraBytes > 0) ledger.charge(nowMs, linkLimit(from, to), extraBytes)
    }

    /** Returns the part of all units of [limit] that this host may use now, from 0 to 1. */
    fun part(
        nowMs: Long,
        limit: LimitId,
    ): Double {
        val totalUnits = ledger.totalUnits(limit)
        return if (totalUnits == 0L) 0.0 else ledger.units(nowMs, limit).toDouble() / totalUnits
    }
}
