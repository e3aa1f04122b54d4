package io.kumquatmill.bench.overload

import java.util.TreeMap
import kotlin.math.abs

/** Collects the outcomes of requests and the regions in which they were executed. */
internal class ReplayStatistics {
    enum class Outcome { IN_TIME, LATE, REFUSED, FAILED }

    private class EarnedBenefit(
        var possible: Double = 0.0,
        var earned: Double = 0.0,
    ) {
        private val outcomes = HashMap<Outcome, Int>()

        val requests: Int
            get() = outcomes.values.sum()

        fun fractionOf(outcome: Outcome): Double = (outcomes[outcome] ?: 0).toDouble() / requests

        val earnedFraction: Double
            get() = if (possible == 0.0) 1.0 else earned / possible

        fun add(
            profile: RequestProfile,
            outcome: Outcome,
        ) {
            possible += profile.benefit
            outcomes.merge(outcome, 1, Int::plus)
            earned +=
                if (outcome == Outcome.IN_TIME) {
                    profile.benefit
                } else if (outcome == Outcome.LATE) {
                    profile.lateBenefit
                } else {
                    0.0
                }
        }
    }

    private val byZone = HashMap<String, EarnedBenefit>()
    private val byProfile = HashMap<String, EarnedBenefit>()
    private val all = EarnedBenefit()
    private val groups = TreeMap<String, EarnedBenefit>()
    private val attemptsByWindow = HashMap<String, HashMap<Long, HashMap<String, Int>>>()
    private var localAttempts = 0
    private var attempts = 0

    /** Records the final outcome of a caller's request. */
    fun recordOutcome(
        zone: String,
        workspacePriority: Int?,
        profile: RequestProfile,
        outcome: Outcome,
    ) {
        val groupNames =
            listOfNotNull(workspacePriority?.let { "workspace priority $it" }, "route priority ${profile.priority}", "kind ${profile.name}")
        val benefits =
            groupNames.map { groups.getOrPut(it) { EarnedBenefit() } } +
                listOf(all, byZone.getOrPut(zone) { EarnedBenefit() }, byProfile.getOrPut(profile.name) { EarnedBenefit() })
        benefits.forEach { it.add(profile, outcome) }
    }

    /** Records an attempt that was sent for a caller in region [from] to a worker in region [to]. */
    fun recordAttempt(
        nowMs: Long,
        from: String,
        to: String,
    ) {
        attempts++
        if (from == to) localAttempts++
        attemptsByWindow
            .getOrPut(from) { HashMap() }
            .getOrPut(nowMs / WINDOW_MS) { HashMap() }
            .merge(to, 1, Int::plus)
    }

    fun result(
        pattern: String,
        policy: String,
        seed: Int,
        workers: Collection<WorkerEmulator>,
    ): ReplayResult =
        ReplayResult(
            pattern = pattern,
            policy = policy,
            seed = seed,
            requests = all.requests,
            earnedFraction = all.earnedFraction,
            worstZoneEarnedFraction = byZone.values.minOf { it.earnedFraction },
            worstKindEarnedFraction = byProfile.values.minOf { it.earnedFraction },
            earnedByZone = byZone.mapValues { (_, benefit) -> benefit.earnedFraction },
            earnedByCall = byProfile.mapValues { (_, benefit) -> benefit.earnedFraction },
            inTimeFraction = all.fractionOf(Outcome.IN_TIME),
            refusedFraction = all.fractionOf(Outcome.REFUSED),
            lateFraction = all.fractionOf(Outcome.LATE),
            failedFraction = all.fractionOf(Outcome.FAILED),
            warmFraction = workers.sumOf { it.warmRuns }.toDouble() / workers.sumOf { it.runs },
            localFraction = localAttempts.toDouble() / attempts,
            groups = groups.map { (name, benefit) -> groupResult(name, benefit) },
            maxShiftedFraction = attemptsByWindow.values.maxOf(::maxShiftedFraction),
        )

    private fun groupResult(
        name: String,
        benefit: EarnedBenefit,
    ) = GroupResult(
        name = name,
        earned = benefit.earned,
        earnedFraction = benefit.earnedFraction,
        refusedFraction = benefit.fractionOf(Outcome.REFUSED),
        lateFraction = benefit.fractionOf(Outcome.LATE),
        failedFraction = benefit.fractionOf(Outcome.FAILED),
    )

    private fun maxShiftedFraction(windows: Map<Long, Map<String, Int>>): Double =
        windows.keys
            .filter { it + 1 in windows }
            .filter { windows.getValue(it).values.sum() >= MIN_ATTEMPTS && windows.getValue(it + 1).values.sum() >= MIN_ATTEMPTS }
            .maxOfOrNull { shiftedFraction(windows.getValue(it), windows.getValue(it + 1)) } ?: 0.0

    private fun shiftedFraction(
        before: Map<String, Int>,
        after: Map<String, Int>,
    ): Double {
        val allBefore = before.values.sum().toDouble()
        val allAfter = after.values.sum().toDouble()
        return (before.keys + after.keys).sumOf { abs((before[it] ?: 0) / allBefore - (after[it] ?: 0) / allAfter) } / 2
    }

    private companion object {
        /** Window in which traffic shifts are measured. */
        const val WINDOW_MS = 2_000L

        /** Windows with fewer attempts are ignored: the fraction that shifted would not be significant. */
        const val MIN_ATTEMPTS = 100
    }
}
