package io.kumquatmill.node.effect

/** What a [Decision] is about. */
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
