package io.kumquatmill.configuration.validation

/** Bounds of the values in the operators' lists. */
object ListBounds {
    const val MAX_RATE_PER_S: Double = 1_000_000.0
    const val MAX_BURST: Int = 10_000_000
    const val MAX_WEIGHT: Int = 1_000
    const val MAX_NAME_LENGTH: Int = 64

    /** Bound of the encoded lists; the rest of a 1 MB store value is left for recent edit identifiers. */
    const val MAX_SIZE_BYTES: Int = 990_000
}
