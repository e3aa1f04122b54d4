package io.kumquatmill.bench.capacity

private const val COLLECTIONS = 3

/** Returns the bytes of the heap that are reachable now. */
internal fun usedHeapBytes(): Long {
    repeat(COLLECTIONS) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
