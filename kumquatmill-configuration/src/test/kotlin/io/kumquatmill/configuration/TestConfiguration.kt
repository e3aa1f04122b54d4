package io.kumquatmill.configuration

import io.kumquatmill.common.id.PlanId
import io.kumquatmill.common.id.RouteId
import io.kumquatmill.common.id.WorkspaceId
import io.kumquatmill.configuration.model.Customer
import io.kumquatmill.configuration.model.KeyHash
import io.kumquatmill.configuration.model.OperatorConfiguration
import io.kumquatmill.configuration.model.Plan

internal val basicPlan = Plan(PlanId("basic"), ratePerS = 10.0, burst = 20, routes = setOf(RouteId("status")))
internal val clinicKey = KeyHash.of("clinic-key")
internal val clinic = Customer(WorkspaceId("clinic"), basicPlan.id, setOf(clinicKey))
internal val pharmacy = Customer(WorkspaceId("pharmacy"), basicPlan.id)
internal val testConfiguration = OperatorConfiguration(listOf(basicPlan), listOf(clinic, pharmacy))
