package io.kumquatmill.traffic.desk

import io.kumquatmill.traffic.model.TrafficRoute
import io.kumquatmill.traffic.model.Workspace

/** What a request is, by its host, path and key. */
sealed interface Identification {
    /** The request belongs to [route] and, where it needs a key, to [workspace]. */
    data class Known(
        val route: TrafficRoute,
        val workspace: Workspace?,
    ) : Identification

    /** No desired state is known yet: nothing can be said about the request. */
    data object NotReady : Identification

    /** No route has this host and path. */
    data object UnknownRoute : Identification

    /** The key is missing or belongs to no workspace. */
    data object UnknownKey : Identification
}
