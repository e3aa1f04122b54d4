package io.kumquatmill.limits.ledger

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash

/** Digest of all loans between a lender and a borrower, independent of their order. */
internal class LoanDigest {
    var value: Long = 0
        private set

    fun add(
        limit: LimitId,
        version: Long,
        units: Long,
    ) {
        value += combineHashes(stableHash(limit.value), combineHashes(version, units))
    }
}
