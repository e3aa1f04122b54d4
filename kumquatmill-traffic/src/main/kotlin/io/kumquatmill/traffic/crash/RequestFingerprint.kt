package io.kumquatmill.traffic.crash

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash
import io.kumquatmill.common.id.WorkspaceId
import java.util.HexFormat
import java.util.Locale

/** Identifies what a request asks for: requests that differ only in their id have the same fingerprint on all hosts. */
@JvmInline
value class RequestFingerprint(
    val value: Long,
) {
    override fun toString(): String = HexFormat.of().toHexDigits(value)

    companion object {
        /**
         * Returns the fingerprint of a request.
         *
         * @param host host that the caller named
         * @param target path and query as the caller sent them
         * @param workspace workspace of the caller, or null if it came without a key
         */
        fun of(
            method: String,
            host: String,
            target: String,
            workspace: WorkspaceId?,
            body: ByteArray,
        ): RequestFingerprint {
            val texts = listOf(method, host.lowercase(Locale.ROOT), target, workspace?.value.orEmpty())
            return RequestFingerprint(texts.fold(stableHash(body)) { hash, text -> combineHashes(hash, stableHash(text)) })
        }
    }
}
