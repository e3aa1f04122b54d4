package io.kumquatmill.common.dsl

/** Marks the receivers of DSL builders, so that a nested builder cannot implicitly access an outer one. */
@DslMarker
@Target(AnnotationTarget.CLASS, AnnotationTarget.TYPE)
annotation class KumquatmillDsl
