package io.kumquatmill.bench.measure

import io.kumquatmill.bench.experiment.Experiment
import io.kumquatmill.bench.policy.Policies

/** Runs [experiment] under each of its policies with each of its seeds. */
fun runExperiment(experiment: Experiment): List<RunMeasures> =
    experiment.policies.flatMap { policy -> experiment.seeds.map { seed -> runExperiment(experiment, policy, seed) } }

/** Runs [experiment] under [policy] with [seed]. */
fun runExperiment(
    experiment: Experiment,
    policy: String,
    seed: Long,
): RunMeasures {
    val allowed = experiment.plans.associate { it.workspace to AllowedRate(it.ratePerS, it.burst) }
    return experiment.toScenario().run(seed, Policies.nodeFactoryOf(policy)).measures(policy, allowed)
}
