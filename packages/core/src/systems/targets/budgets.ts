/*
Budgets of the targets that this router owns. A target that is new, returned, taken over, restarted or suddenly slow
starts at its cold budget; evidence of good completions raises it in steps, see `evidence.ts`; a failing one is set aside
for a time that doubles and then probed with one request. See docs/design/cold-start.md.
*/
import {Phase, type TargetHandover} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import type {Budget, Permit} from '../../rows.ts';
import {log, type World} from '../../world.ts';
import {isStandingIn} from '../requests/routes.ts';
import {adoptPermit, endPermit} from './permits.ts';

/** No target restarts and takes requests again within this time, in milliseconds. */
const leastRestartMs = 100;

/** Starts the budget of a target that this router has just come to own; cold until evidence says otherwise. */
export function takeTarget(world: World, target: string, epoch: number, handover?: TargetHandover) {
	const configured = world.configuration.targets.get(target);
	const budget: Budget = {
		target,
		url: configured?.url ?? '',
		epoch,
		phase: Phase.Cold,
		budget: configured?.coldBudget ?? 1,
		completions: 0,
		consecutiveFailures: 0,
		setAsideUntil: 0,
		startId: '',
		reportedRunning: 0,
		reportEarliestAt: Number.NEGATIVE_INFINITY,
		reportLatestAt: Number.NEGATIVE_INFINITY,
		reportedCold: undefined,
		lastColdAt: world.now,
		busySince: world.now,
		lastBusyAt: Number.NEGATIVE_INFINITY,
		takenOverAt: world.now,
		awaitedAnnouncements: new Set([...world.members.rows()].map(member => member.id)),
		endedPermits: [],
		lastAnswerAt: Number.NEGATIVE_INFINITY,
		firstByteMs: 0,
		betweenTokensMs: 0,
		consecutiveSlowAnswers: 0,
	};
	world.budgets.set(budget);
	if (handover) {
		continueBudget(world, budget, handover);
	}
}

/** Goes on where the owner before left off: it has told all permits that are out. */
function continueBudget(world: World, budget: Budget, handover: TargetHandover) {
	budget.phase = handover.phase;
	budget.budget = handover.budget;
	budget.consecutiveFailures = handover.phase === Phase.SetAside ? 1 : 0;
	budget.takenOverAt = Number.NEGATIVE_INFINITY;
	for (const entry of handover.entries) {
		adoptPermit(world, budget.target, entry);
	}

	if (handover.entries.length > 0) {
		budget.busySince = Number.NEGATIVE_INFINITY;
	}
}

/** Drops the budget of a target and returns what the next owner needs; undefined when this router didn't own it. */
export function releaseTarget(world: World, target: string): {phase: Phase; budget: number; entries: TargetHandover['entries']} | undefined {
	const budget = world.budgets.get(target);
	if (!budget) {
		return undefined;
	}

	const permits = [...world.permits.group(target)];
	for (const permit of permits) {
		// What is served from here on is charged by the next owner.
		endPermit(world, permit, permit.outputTokens, true);
	}

	world.budgets.delete(target);
	const isKnownUp = permits.length > 0 && isProven(budget);
	return {
		phase: isKnownUp || budget.phase === Phase.SetAside ? budget.phase : Phase.Cold,
		budget: isKnownUp ? budget.budget : 0,
		entries: permits.map(({ticket, workspace, pool, inputTokens, outputTokens}) => ({
			ticket, workspace, pool, inputTokens, outputTokens,
		})),
	};
}

/**
Returns a target to its cold budget.

@param since When it fell back at the earliest: what began before then is no evidence for it.
*/
export function fallBack(world: World, budget: Budget, reason: string, since = world.now) {
	const configured = world.configuration.targets.get(budget.target);
	if (budget.phase !== Phase.Cold) {
		log(world, LogPart.Target, `${budget.target} ${reason}, back to its cold budget`, 'warn');
	}

	budget.phase = Phase.Cold;
	budget.budget = configured?.coldBudget ?? 1;
	budget.completions = 0;
	budget.consecutiveSlowAnswers = 0;
	budget.lastColdAt = since;
}

/** Keeps new work from a failing target for a time that doubles with each failure in a row. */
export function setAside(world: World, budget: Budget) {
	const {setAsideMs, setAsideMaxMs} = world.limits;
	if (budget.phase === Phase.SetAside && world.now < budget.setAsideUntil) {
		return;
	}

	const pause = Math.min(setAsideMaxMs, setAsideMs * (2 ** budget.consecutiveFailures));
	fallBack(world, budget, 'failed');
	budget.consecutiveFailures += 1;
	budget.phase = Phase.SetAside;
	budget.setAsideUntil = world.now + pause;
	log(world, LogPart.Target, `${budget.target} set aside for ${pause} ms`, 'warn');
}

/** Whether the owner before, or the holders of its permits, may still be unheard. */
function isReconciling({now, limits}: World, budget: Budget): boolean {
	const awaitsHolders = budget.awaitedAnnouncements.size > 0 && now < budget.takenOverAt + limits.permitReconcileMs;
	const awaitsReport = budget.reportEarliestAt < budget.takenOverAt && now < budget.takenOverAt + limits.loadReportWaitMs;
	return awaitsHolders || awaitsReport;
}

/**
Whether a load report tells that the target hasn't restarted since its first permit now out was given. From there on a
restart would break a running answer, and so be known at once.
*/
function isProven(budget: Budget): boolean {
	return budget.reportEarliestAt >= budget.busySince;
}

function wasOutAt(permit: Pick<Permit, 'grantedAt' | 'isAdopted'>, time: number): boolean {
	return permit.isAdopted || permit.grantedAt <= time;
}

/** How many requests of the target's last report these permits, and those that have ended since, may account for. */
export function explainedBy(budget: Budget, permits: Iterable<Permit>): number {
	let count = 0;
	for (const permit of permits) {
		count += wasOutAt(permit, budget.reportLatestAt) ? 1 : 0;
	}

	for (const permit of budget.endedPermits) {
		count += wasOutAt(permit, budget.reportLatestAt) && permit.endedAt >= budget.reportEarliestAt ? 1 : 0;
	}

	return count;
}

/** Requests that the target's last report counts and that no permit here explains, such as those of a silent holder. */
function unexplained(world: World, budget: Budget): number {
	return budget.reportEarliestAt < budget.lastColdAt
		? 0
		: Math.max(0, budget.reportedRunning - explainedBy(budget, world.permits.group(budget.target)));
}

function freeColdSlots(world: World, budget: Budget, coldBudget: number): number {
	const limit = budget.consecutiveFailures > 0 ? 1 : coldBudget;
	return Math.max(0, limit - world.permits.count(budget.target) - unexplained(world, budget));
}

/** Permits that a target can take at this moment. */
export function freeSlots(world: World, budget: Budget): number {
	const target = world.configuration.targets.get(budget.target);
	if (!target || !isStandingIn(world.configuration, target) || isReconciling(world, budget)) {
		return 0;
	}

	if (budget.phase === Phase.SetAside && world.now < budget.setAsideUntil) {
		return 0;
	}

	if (budget.phase === Phase.Cold || budget.phase === Phase.SetAside) {
		return freeColdSlots(world, budget, target.coldBudget);
	}

	const limit = isProven(budget) ? target.warmBudget : target.coldBudget;
	return Math.max(0, Math.min(budget.budget, limit) - world.permits.count(budget.target));
}

function noteIdleness(world: World, budget: Budget) {
	if (world.permits.count(budget.target) > 0) {
		budget.lastBusyAt = world.now;
	} else if (world.now - budget.lastBusyAt >= leastRestartMs) {
		budget.busySince = world.now;
	}
}

/** Ends pauses, notes which targets are idle, and resets those that operators took out: they return cold. */
export function budgetsSystem(world: World) {
	for (const budget of world.budgets.rows()) {
		const target = world.configuration.targets.get(budget.target);
		if (target && !isStandingIn(world.configuration, target)) {
			fallBack(world, budget, 'was taken out');
		}

		if (target && target.url !== budget.url) {
			fallBack(world, budget, 'has another address');
			Object.assign(budget, {url: target.url, startId: '', busySince: world.now});
		}

		if (budget.phase === Phase.SetAside && world.now >= budget.setAsideUntil) {
			budget.phase = Phase.Cold;
			budget.lastColdAt = world.now;
		}

		noteIdleness(world, budget);
	}
}
