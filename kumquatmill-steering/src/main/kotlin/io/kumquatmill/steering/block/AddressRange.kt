package io.kumquatmill.steering.block

/** Range of IPv4 addresses from [first] to [last] inclusive, as unsigned 32-bit numbers. */
data class AddressRange(
    val first: Long,
    val last: Long,
) {
    init {
        require(first in 0..last && last <= MAX_ADDRESS) { "address range $first to $last is not valid: give the lower end first" }
    }

    companion object {
        private const val MAX_ADDRESS = 0xFFFF_FFFFL
        private const val BLOCK_SIZE = 256L

        /** Returns the /24 block that starts at [first]. */
        fun block24(first: Long): AddressRange = AddressRange(first, first + BLOCK_SIZE - 1)
    }
}
