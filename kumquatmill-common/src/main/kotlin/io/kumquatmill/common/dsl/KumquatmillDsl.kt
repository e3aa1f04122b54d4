package io.kumquatmill.common.dsl

/** Marks the receivers of builders, so that nested builders do not reach into each other. */
@DslMarker
@Target(AnnotationTarget.CLASS, AnnotationTarget.TYPE)
annotation class KumquatmillDsl
