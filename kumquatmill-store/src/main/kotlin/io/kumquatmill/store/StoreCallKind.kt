package io.kumquatmill.store

/** Kind of a [StoreCall]; [wireName] is its label in metrics, and [isWrite] tells whether it changes an entry or a lease. */
enum class StoreCallKind(
    val wireName: String,
    val isWrite: Boolean,
) {
    READ("read", isWrite = false),
    READ_PREFIX("read-prefix", isWrite = false),
    COMPARE_AND_SWAP("compare-and-swap", isWrite = true),
    DELETE("delete", isWrite = true),
    GRANT_LEASE("grant-lease", isWrite = true),
    RENEW_LEASE("renew-lease", isWrite = true),
    WATCH("watch", isWrite = false),
}

/** Kind of this call. */
val StoreCall.kind: StoreCallKind
    get() =
        when (this) {
            is StoreCall.Read -> StoreCallKind.READ
            is StoreCall.ReadPrefix -> StoreCallKind.READ_PREFIX
            is StoreCall.CompareAndSwap -> StoreCallKind.COMPARE_AND_SWAP
            is StoreCall.Delete -> StoreCallKind.DELETE
            is StoreCall.GrantLease -> StoreCallKind.GRANT_LEASE
            is StoreCall.RenewLease -> StoreCallKind.RENEW_LEASE
            is StoreCall.Watch -> StoreCallKind.WATCH
        }
