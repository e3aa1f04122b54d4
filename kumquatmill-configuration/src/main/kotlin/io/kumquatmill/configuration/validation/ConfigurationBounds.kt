package io.kumquatmill.configuration.validation

/** Bounds of the values in the configuration; all are inclusive. */
object ConfigurationBounds {
    const val MAX_RATE_PER_S: Double = 1_000_000.0
    const val MAX_BURST: Int = 10_000_000
    const val MAX_WEIGHT: Int = 1_000
    const val MAX_NAME_LENGTH: Int = 64

    /** Maximum size of the encoded configuration; the rest of a 1 MB store value is reserved for recent edit identifiers. */
    const val MAX_SIZE_BYTES: Int = 990_000
}
