/*
Evidence that raises or lowers the budgets of targets: ends of attempts and load reports. Attempts that began before the
last reset to the cold budget, and load reports that describe an earlier time, never raise a budget. See
docs/design/cold-start.md.
*/
import {AttemptEnd, Phase, type PermitReturn} from '../../messages.ts';
import type {InboundOf} from '../../ports.ts';
import type {Budget, Permit} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, type World} from '../../world.ts';
import {resetToColdBudget, setAside} from './budgets.ts';

/** Weight of a new sample in the exponentially weighted means. */
const sampleWeight = 0.1;

/** Number of consecutive slow answers, or of simultaneously overdue ones, at which a target counts as back in cold start. */
const slowAnswerThreshold = 2;

/**
A first byte is slow only when it exceeds the mean by more than this, in milliseconds; pauses of the routers themselves
last as long.
*/
const minFirstByteExcessMs = 200;

/**
A first token is overdue only when it exceeds the mean by more than this, in milliseconds; routers report tokens only
twice a second.
*/
const minFirstTokenExcessMs = 2 * second;

/** Period of the check for permits without a first token, in milliseconds. */
const lateAnswersCheckMs = 250;

/** Handles a load report of a target; a new start id means that the target has restarted and is cold again. */
export function onLoadReport(world: World, report: InboundOf<'loadReport'>) {
	const budget = world.budgets.get(report.target);
	if (!budget) {
		return;
	}

	const latestAt = world.now - report.ageMs;
	const earliestAt = latestAt - (report.roundTripMs ?? 0);
	if (!report.reachable) {
		onReportFailed(world, budget, earliestAt);
		return;
	}

	if (earliestAt < budget.reportEarliestAt) {
		return;
	}

	if (budget.startId !== '' && budget.startId !== report.startId) {
		resetToColdBudget(world, budget, 'restarted', budget.phase === Phase.Cold ? Math.max(budget.lastColdAt, latestAt) : world.now);
	} else if (report.cold && earliestAt >= budget.lastColdAt && isAboveCold(budget)) {
		resetToColdBudget(world, budget, 'reports a cold start');
	}

	Object.assign(budget, {
		startId: report.startId,
		reportedRunning: report.running,
		reportEarliestAt: earliestAt,
		reportLatestAt: latestAt,
		reportedCold: report.cold,
		endedPermits: budget.endedPermits.filter(({endedAt}) => endedAt >= earliestAt),
	});
}

function isAboveCold({phase}: Budget): boolean {
	return phase === Phase.Ramping || phase === Phase.Warm;
}

/** A single report may get lost, so a target that has completed an answer since the poll began isn't set aside. */
function onReportFailed(world: World, budget: Budget, polledAt: number) {
	if (budget.lastAnswerAt < polledAt) {
		setAside(world, budget);
	}
}

/** `isCurrent` tells whether the permit was granted since the last reset to the cold budget. */
type AttemptHandler = (world: World, budget: Budget, attempt: PermitReturn, isCurrent: boolean) => void;

const attemptHandlers: Record<AttemptEnd, AttemptHandler> = {
	[AttemptEnd.Whole]: onWhole,
	[AttemptEnd.NotSent]: setAside,
	[AttemptEnd.Refused]: setAside,
	[AttemptEnd.Broken]: onBroken,
	[AttemptEnd.Cancelled]() {
		// Caused by the caller; no evidence about the target.
	},
	[AttemptEnd.Mismatched](world, budget) {
		resetToColdBudget(world, budget, 'sent an answer to another request');
	},
	[AttemptEnd.Unused]() {
		// Caused by the origin router; no evidence about the target.
	},
};

/** Applies the end of an attempt to the budget of its target. */
export function onAttemptEnd(world: World, attempt: PermitReturn, permit: Permit) {
	const budget = world.budgets.get(attempt.target);
	if (budget) {
		attemptHandlers[attempt.end](world, budget, attempt, permit.grantedAt >= budget.lastColdAt);
	}
}

/**
The first broken answers indicate a restart. An attempt that began after the reset and broke before its first byte means
that the target fails.
*/
function onBroken(world: World, budget: Budget, attempt: PermitReturn, isCurrent: boolean) {
	if (!isCurrent) {
		return;
	}

	if (budget.phase === Phase.Cold && attempt.firstByteMs === 0) {
		setAside(world, budget);
	} else {
		resetToColdBudget(world, budget, 'broke off an answer');
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
		if (budget.consecutiveSlowAnswers >= slowAnswerThreshold && budget.phase !== Phase.Cold) {
			resetToColdBudget(world, budget, 'became slow');
		}

		return;
	}

	budget.consecutiveSlowAnswers = 0;
	budget.firstByteMs = updateMean(budget.firstByteMs, attempt.firstByteMs);
	budget.betweenTokensMs = updateMean(budget.betweenTokensMs, attempt.betweenTokensMs);
	budget.completions += 1;
	raiseBudgetIfDue(world, budget);
}

function updateMean(mean: number, sample: number): number {
	return mean === 0 ? sample : (mean * (1 - sampleWeight)) + (sample * sampleWeight);
}

function isSlow({limits}: World, budget: Budget, attempt: PermitReturn): boolean {
	const firstByteLimit = Math.max(budget.firstByteMs * limits.slowFactor, budget.firstByteMs + minFirstByteExcessMs);
	return (budget.firstByteMs > 0 && attempt.firstByteMs > firstByteLimit)
		|| (budget.betweenTokensMs > 0 && attempt.betweenTokensMs > budget.betweenTokensMs * limits.slowFactor);
}

/** Resets targets to their cold budget when the first tokens of several answers are overdue. */
export function lateAnswersSystem(world: World) {
	if (!startPeriodIfDue(world, 'lateAnswers', lateAnswersCheckMs)) {
		return;
	}

	for (const budget of world.budgets.rows()) {
		if (isAboveCold(budget) && budget.firstByteMs > 0 && countLateAnswers(world, budget) >= slowAnswerThreshold) {
			resetToColdBudget(world, budget, 'stopped answering');
		}
	}
}

function countLateAnswers(world: World, budget: Budget): number {
	const lateMs = Math.max(budget.firstByteMs * world.limits.slowFactor, budget.firstByteMs + minFirstTokenExcessMs);
	let late = 0;
	for (const {outputTokens, grantedAt, isAdopted} of world.permits.group(budget.target)) {
		late += outputTokens === 0 && !isAdopted && world.now - grantedAt > lateMs ? 1 : 0;
	}

	return late;
}

/**
Successful completions required for the next step. A target at its cold budget that reports itself warm needs at most one
per slot.
*/
function computeRequiredCompletions({limits}: World, budget: Budget): number {
	if (budget.phase !== Phase.Cold) {
		return budget.budget;
	}

	return budget.reportedCold === false ? Math.min(limits.coldCompletions, budget.budget) : limits.coldCompletions;
}

/**
Raises the budget by one step once there are enough successful completions and a load report from after the last reset
that doesn't say that the target is cold.
*/
function raiseBudgetIfDue(world: World, budget: Budget) {
	const configured = world.configuration.targets.get(budget.target);
	const isReportedWarm = budget.reportEarliestAt >= budget.lastColdAt && budget.reportedCold !== true;
	if (!configured || budget.budget >= configured.warmBudget || !isReportedWarm || budget.completions < computeRequiredCompletions(world, budget)) {
		return;
	}

	budget.completions = 0;
	budget.budget = Math.min(configured.warmBudget, Math.max(budget.budget + 1, Math.floor(budget.budget * world.limits.rampFactor)));
	budget.phase = budget.budget === configured.warmBudget ? Phase.Warm : Phase.Ramping;
}
