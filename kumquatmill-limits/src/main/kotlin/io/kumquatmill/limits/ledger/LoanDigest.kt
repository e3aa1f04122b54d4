package io.kumquatmill.limits.ledger

import io.kumquatmill.common.hash.combineHashes
import io.kumquatmill.common.hash.stableHash

/** Order-independent digest of all loans between a lender and a borrower. Equal digests mean that both agree on the loans. */
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
