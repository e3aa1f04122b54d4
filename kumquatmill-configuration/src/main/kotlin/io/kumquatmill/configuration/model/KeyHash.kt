package io.kumquatmill.configuration.model

import kotlinx.serialization.Serializable
import java.security.MessageDigest
import java.util.HexFormat

/** SHA-256 digest of a caller's key in lower-case hexadecimal; the key itself is never stored. */
@Serializable
@JvmInline
value class KeyHash(
    val hex: String,
) {
    override fun toString(): String = hex

    companion object {
        /** Returns the hash of [key]. */
        fun of(key: String): KeyHash {
            val digest = MessageDigest.getInstance("SHA-256").digest(key.toByteArray())
            return KeyHash(HexFormat.of().formatHex(digest))
        }
    }
}
