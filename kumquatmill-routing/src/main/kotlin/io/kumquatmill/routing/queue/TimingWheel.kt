package io.kumquatmill.routing.queue

/** Hashed timing wheel that finds the entries whose latest start has passed, at a constant cost per entry and elapsed tick. */
internal class TimingWheel {
    private val slots = arrayOfNulls<QueueEntry>(SLOT_COUNT)
    private var lastCheckedTick = Long.MIN_VALUE

    fun add(
        nowMs: Long,
        entry: QueueEntry,
    ) {
        if (lastCheckedTick == Long.MIN_VALUE) lastCheckedTick = tickOf(nowMs)
        val slot = slotOf(maxOf(tickOf(entry.request.latestStartAtMs), lastCheckedTick))
        val head = slots[slot]
        entry.wheelSlot = slot
        entry.previousInSlot = null
        entry.nextInSlot = head
        head?.previousInSlot = entry
        slots[slot] = entry
    }

    fun remove(entry: QueueEntry) {
        val previous = entry.previousInSlot
        val next = entry.nextInSlot
        if (previous == null) slots[entry.wheelSlot] = next else previous.nextInSlot = next
        next?.previousInSlot = previous
        entry.previousInSlot = null
        entry.nextInSlot = null
    }

    /** Calls [onExpired], which must remove the entry, for each entry that can no longer start in time at [nowMs]. */
    fun expire(
        nowMs: Long,
        onExpired: (QueueEntry) -> Unit,
    ) {
        if (lastCheckedTick == Long.MIN_VALUE) return
        val nowTick = tickOf(nowMs)
        val firstTick = maxOf(lastCheckedTick, nowTick - SLOT_COUNT + 1)
        for (tick in firstTick..nowTick) {
            expireSlot(nowMs, slotOf(tick), onExpired)
        }
        lastCheckedTick = maxOf(lastCheckedTick, nowTick)
    }

    private fun expireSlot(
        nowMs: Long,
        slot: Int,
        onExpired: (QueueEntry) -> Unit,
    ) {
        var entry = slots[slot]
        while (entry != null) {
            val next = entry.nextInSlot
            if (entry.request.latestStartAtMs < nowMs) onExpired(entry)
            entry = next
        }
    }

    private fun tickOf(timeMs: Long): Long = Math.floorDiv(timeMs, TICK_MS)

    private fun slotOf(tick: Long): Int = Math.floorMod(tick, SLOT_COUNT.toLong()).toInt()

    private companion object {
        const val SLOT_COUNT = 1_024
        const val TICK_MS = 10L
    }
}
