/*
Evidence for the budgets of targets: ends of attempts and load reports. What began before the last fall-back, and what a
report tells of the time before it, raises nothing. See docs/design/cold-start.md.
*/
import {AttemptEnd, Phase, type PermitReturn} from '../../messages.ts';
import type {InboundOf} from '../../ports.ts';
import type {Budget, Permit} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, type World} from '../../world.ts';
import {fallBack, setAside} from './budgets.ts';

/** Weight of a sample in the running means. */
const meanWeight = 0.1;

/** Slow answers in a row after which a target counts as fallen back into cold start. */
const slowInRowLimit = 2;

/** A first byte that is late by less than this is never slow: the instances' own pauses are as long, in milliseconds. */
const lateFirstByteMs = 200;

/** A first token that is this late means that the target is slow; holders report tokens twice a second, in milliseconds. */
const missingFirstByteMs = 2 * second;

/** Period at which permits without a first token are looked for, in milliseconds. */
const latenessMs = 250;

/** Takes a load report of a target; a new start id means that it restarted, and is cold again. */
export function onLoadReport(world: World, report: InboundOf<'loadReport'>) {
	const budget = world.budgets.get(report.target);
	if (!budget) {
		return;
	}

	const reportedUntil = world.now - report.ageMs;
	const reportedAt = reportedUntil - (report.roundTripMs ?? 0);
	if (!report.reachable) {
		onReportMissing(world, budget, reportedAt);
		return;
	}

	if (reportedAt < budget.reportEarliestAt) {
		return;
	}

	if (budget.startId !== '' && budget.startId !== report.startId) {
		fallBack(world, budget, 'restarted', budget.phase === Phase.Cold ? Math.max(budget.lastColdAt, reportedUntil) : world.now);
	} else if (report.cold && reportedAt >= budget.lastColdAt && isAboveCold(budget)) {
		fallBack(world, budget, 'reports that it is cold');
	}

	Object.assign(budget, {
		startId: report.startId,
		reportedRunning: report.running,
		reportEarliestAt: reportedAt,
		reportLatestAt: reportedUntil,
		reportedCold: report.cold,
		endedPermits: budget.endedPermits.filter(({endedAt}) => endedAt >= reportedAt),
	});
}

function isAboveCold({phase}: Budget): boolean {
	return phase === Phase.Ramping || phase === Phase.Warm;
}

/** A report may get lost on its own; a target that answered since it was asked for lives. */
function onReportMissing(world: World, budget: Budget, askedAt: number) {
	if (budget.lastAnswerAt < askedAt) {
		setAside(world, budget);
	}
}

type AttemptHandler = (world: World, budget: Budget, attempt: PermitReturn, isCurrent: boolean) => void;

const attemptHandlers: Record<AttemptEnd, AttemptHandler> = {
	[AttemptEnd.Whole]: onWhole,
	[AttemptEnd.NotSent]: setAside,
	[AttemptEnd.Refused]: setAside,
	[AttemptEnd.Broken]: onBroken,
	[AttemptEnd.Cancelled]() {
		// The caller's doing; it tells nothing of the target.
	},
	[AttemptEnd.Mismatched](world, budget) {
		fallBack(world, budget, 'mixed up answers');
	},
	[AttemptEnd.Unused]() {
		// The holder's doing.
	},
};

/** Takes the end of an attempt as evidence for its target's budget. */
export function onAttemptEnd(world: World, attempt: PermitReturn, permit: Permit) {
	const budget = world.budgets.get(attempt.target);
	if (budget) {
		attemptHandlers[attempt.end](world, budget, attempt, permit.grantedAt >= budget.lastColdAt);
	}
}

/** The first broken answers mean a restart; one that began since then and got no byte means that the target fails. */
function onBroken(world: World, budget: Budget, attempt: PermitReturn, isCurrent: boolean) {
	if (!isCurrent) {
		return;
	}

	if (budget.phase === Phase.Cold && attempt.firstByteMs === 0) {
		setAside(world, budget);
	} else {
		fallBack(world, budget, 'broke an answer');
	}
}

function onWhole(world: World, budget: Budget, attempt: PermitReturn, isCurrent: boolean) {
	budget.lastAnswerAt = world.now;
	if (!isCurrent) {
		return;
	}

	budget.consecutiveFailures = 0;
	if (isSlow(world, budget, attempt)) {
		budget.consecutiveSlowAnswers += 1;
		if (budget.consecutiveSlowAnswers >= slowInRowLimit && budget.phase !== Phase.Cold) {
			fallBack(world, budget, 'turned slow');
		}

		return;
	}

	budget.consecutiveSlowAnswers = 0;
	budget.firstByteMs = mean(budget.firstByteMs, attempt.firstByteMs);
	budget.betweenTokensMs = mean(budget.betweenTokensMs, attempt.betweenTokensMs);
	budget.completions += 1;
	raise(world, budget);
}

function mean(before: number, sample: number): number {
	return before === 0 ? sample : (before * (1 - meanWeight)) + (sample * meanWeight);
}

function isSlow({limits}: World, budget: Budget, attempt: PermitReturn): boolean {
	const firstByteLimit = Math.max(budget.firstByteMs * limits.slowFactor, budget.firstByteMs + lateFirstByteMs);
	return (budget.firstByteMs > 0 && attempt.firstByteMs > firstByteLimit)
		|| (budget.betweenTokensMs > 0 && attempt.betweenTokensMs > budget.betweenTokensMs * limits.slowFactor);
}

/** Returns targets to their cold budget of which several answers should have begun long ago. */
export function latenessSystem(world: World) {
	if (!startPeriodIfDue(world, 'lateness', latenessMs)) {
		return;
	}

	for (const budget of world.budgets.rows()) {
		if (isAboveCold(budget) && budget.firstByteMs > 0 && countLate(world, budget) >= slowInRowLimit) {
			fallBack(world, budget, 'stopped to answer');
		}
	}
}

function countLate(world: World, budget: Budget): number {
	const lateMs = Math.max(budget.firstByteMs * world.limits.slowFactor, budget.firstByteMs + missingFirstByteMs);
	let late = 0;
	for (const {outputTokens, grantedAt, isAdopted} of world.permits.group(budget.target)) {
		late += outputTokens === 0 && !isAdopted && world.now - grantedAt > lateMs ? 1 : 0;
	}

	return late;
}

/** Good completions that the next step takes. A cold target that says it is warm has to prove it just once a slot. */
function completionsNeeded({limits}: World, budget: Budget): number {
	if (budget.phase !== Phase.Cold) {
		return budget.budget;
	}

	return budget.reportedCold === false ? Math.min(limits.coldCompletions, budget.budget) : limits.coldCompletions;
}

/** Raises the budget by one step once there is evidence enough at the present one. */
function raise(world: World, budget: Budget) {
	const configured = world.configuration.targets.get(budget.target);
	const isReportedWarm = budget.reportEarliestAt >= budget.lastColdAt && budget.reportedCold !== true;
	if (!configured || budget.budget >= configured.warmBudget || !isReportedWarm || budget.completions < completionsNeeded(world, budget)) {
		return;
	}

	budget.completions = 0;
	budget.budget = Math.min(configured.warmBudget, Math.max(budget.budget + 1, Math.floor(budget.budget * world.limits.rampFactor)));
	budget.phase = budget.budget === configured.warmBudget ? Phase.Warm : Phase.Ramping;
}
