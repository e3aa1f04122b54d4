package io.kumquatmill.bench.capacity

private const val GC_RUNS = 3

/** Returns the size in bytes of the heap that is retained by the object that [create] returns. */
internal fun retainedBytes(create: () -> Any): Double {
    val holder = Holder(create())
    val usedWithValueBytes = usedHeapBytes()
    holder.value = null
    return (usedWithValueBytes - usedHeapBytes()).toDouble()
}

private class Holder(
    var value: Any?,
)

private fun usedHeapBytes(): Long {
    repeat(GC_RUNS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
