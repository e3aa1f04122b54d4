package io.kumquatmill.configuration.validation

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import io.kumquatmill.configuration.json.encodeConfiguration
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan

private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,${ConfigurationBounds.MAX_NAME_LENGTH - 1}}")
private val keyHashPattern = Regex("[0-9a-f]{64}")

/** Returns [configuration] if it is valid, otherwise all of its violations. */
fun validate(configuration: OperatorConfiguration): Either<NonEmptyList<ValidationError>, OperatorConfiguration> {
    val errors =
        duplicateErrors(configuration) +
            configuration.plans.flatMap(::planErrors) +
            configuration.customers.flatMap { customerErrors(it, configuration) } +
            keyErrors(configuration) +
            sizeErrors(configuration)
    return errors.toNonEmptyListOrNull()?.left() ?: configuration.right()
}

private fun duplicateErrors(configuration: OperatorConfiguration): List<ValidationError> =
    configuration.plans.countDuplicates { it.id }.map { (plan, count) -> ValidationError.DuplicatePlan(plan, count) } +
        configuration.customers
            .countDuplicates { it.workspace }
            .map { (workspace, count) -> ValidationError.DuplicateWorkspace(workspace, count) }

private fun <T, K> List<T>.countDuplicates(key: (T) -> K): Map<K, Int> = groupingBy(key).eachCount().filterValues { it > 1 }

private fun planErrors(plan: Plan): List<ValidationError> =
    buildList {
        addAll(nameErrors("plan", plan.id.value))
        plan.routes.forEach { addAll(nameErrors("route of plan '${plan.id}'", it.value)) }
        if (!(plan.ratePerS > 0.0 && plan.ratePerS <= ConfigurationBounds.MAX_RATE_PER_S)) {
            add(ValidationError.RateOutOfBounds(plan.id, plan.ratePerS))
        }
        if (plan.burst !in 1..ConfigurationBounds.MAX_BURST) add(ValidationError.BurstOutOfBounds(plan.id, plan.burst))
        if (plan.weight !in 1..ConfigurationBounds.MAX_WEIGHT) add(ValidationError.WeightOutOfBounds(plan.id, plan.weight))
    }

private fun customerErrors(
    customer: Customer,
    configuration: OperatorConfiguration,
): List<ValidationError> =
    buildList {
        addAll(nameErrors("workspace", customer.workspace.value))
        if (configuration.plans.none { it.id == customer.plan }) {
            add(ValidationError.UnknownPlan(customer.workspace, customer.plan, configuration.plans.map { it.id }))
        }
        customer.keyHashes
            .filterNot { keyHashPattern.matches(it.hex) }
            .forEach { add(ValidationError.MalformedKeyHash(customer.workspace, it)) }
    }

private fun nameErrors(
    entry: String,
    name: String,
): List<ValidationError> = if (namePattern.matches(name)) emptyList() else listOf(ValidationError.InvalidName(entry, name))

private fun keyErrors(configuration: OperatorConfiguration): List<ValidationError> =
    configuration.customers
        .flatMap { customer -> customer.keyHashes.map { it to customer.workspace } }
        .groupBy({ it.first }, { it.second })
        .filterValues { it.distinct().size > 1 }
        .map { (hash, workspaces) -> ValidationError.DuplicateKeyGrant(hash, workspaces) }

/** Checks the encoded size, but not if a rate is not finite: JSON cannot encode it, and [planErrors] reports it. */
private fun sizeErrors(configuration: OperatorConfiguration): List<ValidationError> {
    if (configuration.plans.any { !it.ratePerS.isFinite() }) return emptyList()
    val sizeBytes = encodeConfiguration(configuration).toByteArray().size
    return if (sizeBytes > ConfigurationBounds.MAX_SIZE_BYTES) listOf(ValidationError.TooLarge(sizeBytes)) else emptyList()
}
