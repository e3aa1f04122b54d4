package io.kumquatmill.common.cbor

/**
 * Returns whether [bytes] are exactly one complete CBOR item (RFC 8949), nested at most [MAX_DEPTH] levels deep.
 *
 * The decoder of kotlinx.serialization allocates memory for the declared number of elements, and fills the heap with elements when a list
 * of indefinite length is truncated. Messages from the network must pass this check first.
 */
fun isWellFormedCbor(bytes: ByteArray): Boolean = CborScanner(bytes).isWellFormed()

private class CborScanner(
    private val bytes: ByteArray,
) {
    /** Number of items that each open container still needs; the outermost level needs one. */
    private val missingItems = LongArray(MAX_DEPTH).also { it[0] = 1 }
    private var depth = 0
    private var at = 0

    fun isWellFormed(): Boolean {
        while (at < bytes.size) {
            if (missingItems[0] == 0L || !readItem()) return false
        }
        return missingItems[0] == 0L
    }

    /** Reads one head, with the payload of a string; returns false if it is malformed. */
    private fun readItem(): Boolean {
        val head = bytes[at++].toInt() and BYTE_MASK
        val majorType = head shr MAJOR_TYPE_SHIFT
        val additional = head and ADDITIONAL_MASK
        if (additional == INDEFINITE_LENGTH) return readIndefinite(majorType)
        val argument = readArgument(additional) ?: return false
        val unreadBytes = bytes.size - at
        return when (majorType) {
            TAG -> true
            BYTE_STRING, TEXT_STRING -> argument in 0..unreadBytes && skip(argument.toInt())
            ARRAY -> argument in 0..unreadBytes && open(argument)
            MAP -> argument in 0..unreadBytes / 2 && open(2 * argument)
            else -> endItem()
        }
    }

    private fun readIndefinite(majorType: Int): Boolean =
        when (majorType) {
            BYTE_STRING, TEXT_STRING, ARRAY, MAP -> open(INDEFINITE)
            SIMPLE -> closeIndefinite()
            else -> false
        }

    private fun skip(count: Int): Boolean {
        at += count
        return endItem()
    }

    private fun open(items: Long): Boolean {
        if (items == 0L) return endItem()
        if (depth + 1 == MAX_DEPTH) return false
        missingItems[++depth] = items
        return true
    }

    private fun closeIndefinite(): Boolean {
        if (missingItems[depth] != INDEFINITE) return false
        depth--
        return endItem()
    }

    /** Counts an item that is complete, and with it each container that it completes. */
    private fun endItem(): Boolean {
        while (missingItems[depth] != INDEFINITE) {
            missingItems[depth]--
            if (missingItems[depth] > 0 || depth == 0) break
            depth--
        }
        return true
    }

    /** Reads the argument of a head with [additional] information; returns null if it is reserved or truncated. */
    private fun readArgument(additional: Int): Long? {
        if (additional < ONE_BYTE_ARGUMENT) return additional.toLong()
        if (additional > EIGHT_BYTE_ARGUMENT) return null
        val count = 1 shl (additional - ONE_BYTE_ARGUMENT)
        if (count > bytes.size - at) return null
        return (1..count).fold(0L) { value, _ -> (value shl Byte.SIZE_BITS) or (bytes[at++].toLong() and BYTE_MASK.toLong()) }
    }
}

/** Containers that may be open at once, with the outermost level. */
private const val MAX_DEPTH = 32
private const val INDEFINITE = -1L
private const val BYTE_MASK = 0xFF
private const val MAJOR_TYPE_SHIFT = 5
private const val ADDITIONAL_MASK = 0x1F
private const val ONE_BYTE_ARGUMENT = 24
private const val EIGHT_BYTE_ARGUMENT = 27
private const val INDEFINITE_LENGTH = 31
private const val BYTE_STRING = 2
private const val TEXT_STRING = 3
private const val ARRAY = 4
private const val MAP = 5
private const val TAG = 6
private const val SIMPLE = 7
