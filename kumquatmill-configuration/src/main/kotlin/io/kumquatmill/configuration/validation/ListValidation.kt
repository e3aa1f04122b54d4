package io.kumquatmill.configuration.validation

import arrow.core.Either
import arrow.core.NonEmptyList
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import io.kumquatmill.configuration.json.encodeLists
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.OperatorLists
import io.kumquatmill.configuration.model.Plan

private val namePattern = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,${ListBounds.MAX_NAME_LENGTH - 1}}")
private val keyHashPattern = Regex("[0-9a-f]{64}")

/** Returns [lists] if daemons may take them, otherwise everything that is wrong with them. */
fun validate(lists: OperatorLists): Either<NonEmptyList<ListError>, OperatorLists> {
    val errors =
        duplicateErrors(lists) +
            lists.plans.flatMap(::planErrors) +
            lists.customers.flatMap { customerErrors(it, lists) } +
            keyErrors(lists) +
            sizeErrors(lists)
    return errors.toNonEmptyListOrNull()?.left() ?: lists.right()
}

private fun duplicateErrors(lists: OperatorLists): List<ListError> =
    lists.plans.repeated { it.id }.map { (plan, count) -> ListError.DuplicatePlan(plan, count) } +
        lists.customers.repeated { it.workspace }.map { (workspace, count) -> ListError.DuplicateWorkspace(workspace, count) }

private fun <T, K> List<T>.repeated(key: (T) -> K): Map<K, Int> = groupingBy(key).eachCount().filterValues { it > 1 }

private fun planErrors(plan: Plan): List<ListError> =
    buildList {
        addAll(nameErrors("plan", plan.id.value))
        plan.routes.forEach { addAll(nameErrors("route of plan '${plan.id}'", it.value)) }
        if (!(plan.ratePerS > 0.0 && plan.ratePerS <= ListBounds.MAX_RATE_PER_S)) add(ListError.RateOutOfBounds(plan.id, plan.ratePerS))
        if (plan.burst !in 1..ListBounds.MAX_BURST) add(ListError.BurstOutOfBounds(plan.id, plan.burst))
        if (plan.weight !in 1..ListBounds.MAX_WEIGHT) add(ListError.WeightOutOfBounds(plan.id, plan.weight))
    }

private fun customerErrors(
    customer: Customer,
    lists: OperatorLists,
): List<ListError> =
    buildList {
        addAll(nameErrors("workspace", customer.workspace.value))
        if (lists.plans.none { it.id == customer.plan }) {
            add(ListError.UnknownPlan(customer.workspace, customer.plan, lists.plans.map { it.id }))
        }
        customer.keyHashes
            .filterNot { keyHashPattern.matches(it.hex) }
            .forEach { add(ListError.MalformedKeyHash(customer.workspace, it)) }
    }

private fun nameErrors(
    entry: String,
    name: String,
): List<ListError> = if (namePattern.matches(name)) emptyList() else listOf(ListError.BadName(entry, name))

private fun keyErrors(lists: OperatorLists): List<ListError> =
    lists.customers
        .flatMap { customer -> customer.keyHashes.map { it to customer.workspace } }
        .groupBy({ it.first }, { it.second })
        .filterValues { it.distinct().size > 1 }
        .map { (hash, workspaces) -> ListError.KeyGrantedTwice(hash, workspaces) }

private fun sizeErrors(lists: OperatorLists): List<ListError> {
    if (lists.plans.any { !it.ratePerS.isFinite() }) return emptyList()
    val sizeBytes = encodeLists(lists).toByteArray().size
    return if (sizeBytes > ListBounds.MAX_SIZE_BYTES) listOf(ListError.TooLarge(sizeBytes)) else emptyList()
}
