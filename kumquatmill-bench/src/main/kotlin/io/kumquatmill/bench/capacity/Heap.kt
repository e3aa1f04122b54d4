package io.kumquatmill.bench.capacity

private const val COLLECTIONS = 3

/** Returns the bytes of heap that what [create] returns keeps reachable. */
internal fun retainedBytes(create: () -> Any): Double {
    val holder = Holder(create())
    val withBytes = usedHeapBytes()
    holder.value = null
    return (withBytes - usedHeapBytes()).toDouble()
}

private class Holder(
    var value: Any?,
)

private fun usedHeapBytes(): Long {
    repeat(COLLECTIONS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
