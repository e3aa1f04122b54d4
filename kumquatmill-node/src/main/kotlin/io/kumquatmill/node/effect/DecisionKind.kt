package io.kumquatmill.node.effect

/** Category of a [Decision]. */
enum class DecisionKind(
    val wireName: String,
) {
    FORWARD("forward"),
    RETRY("retry"),
    QUEUE("queue"),
    ANSWER("answer"),
    REFUSE("refuse"),
    CONFIGURATION("configuration"),
    SHARE("share"),
    MEMBERSHIP("membership"),
    EJECT("eject"),
    DRAIN("drain"),
}
