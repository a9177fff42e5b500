/*
Budgets of the targets that this router owns. A target that is new, returned, taken over, restarted or suddenly slow
starts at its cold budget. Successful completions raise the budget in steps, see `evidence.ts`. A failing target is set
aside for a time that doubles with each consecutive failure, and then probed with one request. See
docs/design/cold-start.md.
*/
import {Phase, type TargetHandover} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import type {Budget, Permit} from '../../rows.ts';
import {log, type World} from '../../world.ts';
import {isStandingIn} from '../requests/routes.ts';
import {adoptPermit, endPermit} from './permits.ts';

/** Minimum time that a target needs to restart and accept requests again, in milliseconds. */
const minRestartMs = 100;

/** Creates the budget of a target that this router has just come to own; without a handover message it starts cold. */
export function startBudget(world: World, target: string, epoch: number, handover?: TargetHandover) {
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
		applyHandover(world, budget, handover);
	}
}

/** Continues with the previous owner's budget; its handover message lists all outstanding permits. */
function applyHandover(world: World, budget: Budget, handover: TargetHandover) {
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

/** Deletes the budget of a target and returns what the next owner needs; undefined when this router didn't own the target. */
export function removeBudget(world: World, target: string): {phase: Phase; budget: number; entries: TargetHandover['entries']} | undefined {
	const budget = world.budgets.get(target);
	if (!budget) {
		return undefined;
	}

	const permits = [...world.permits.group(target)];
	for (const permit of permits) {
		// The next owner charges the tokens that are served from here on.
		endPermit(world, permit, permit.outputTokens, true);
	}

	world.budgets.delete(target);
	const isStillValid = permits.length > 0 && isRestartRuledOut(budget);
	return {
		phase: isStillValid || budget.phase === Phase.SetAside ? budget.phase : Phase.Cold,
		budget: isStillValid ? budget.budget : 0,
		entries: permits.map(({ticket, workspace, pool, inputTokens, outputTokens}) => ({
			ticket, workspace, pool, inputTokens, outputTokens,
		})),
	};
}

/**
Resets a target to its cold budget.

@param since Earliest time of the cold start: attempts granted and loads measured before it are no evidence that the target is warm.
*/
export function resetToColdBudget(world: World, budget: Budget, reason: string, since = world.now) {
	const configured = world.configuration.targets.get(budget.target);
	if (budget.phase !== Phase.Cold) {
		log(world, LogPart.Target, `${budget.target} ${reason}, reset to its cold budget`, 'warn');
	}

	budget.phase = Phase.Cold;
	budget.budget = configured?.coldBudget ?? 1;
	budget.completions = 0;
	budget.consecutiveSlowAnswers = 0;
	budget.lastColdAt = since;
}

/** Keeps new work from a failing target for a time that doubles with each consecutive failure. */
export function setAside(world: World, budget: Budget) {
	const {setAsideMs, setAsideMaxMs} = world.limits;
	if (budget.phase === Phase.SetAside && world.now < budget.setAsideUntil) {
		return;
	}

	const durationMs = Math.min(setAsideMaxMs, setAsideMs * (2 ** budget.consecutiveFailures));
	resetToColdBudget(world, budget, 'failed');
	budget.consecutiveFailures += 1;
	budget.phase = Phase.SetAside;
	budget.setAsideUntil = world.now + durationMs;
	log(world, LogPart.Target, `${budget.target} set aside for ${durationMs} ms`, 'warn');
}

/** Whether permits of the previous owner may still be unknown: announcements or the first load report are outstanding. */
function isReconciling({now, limits}: World, budget: Budget): boolean {
	const awaitsAnnouncements = budget.awaitedAnnouncements.size > 0 && now < budget.takenOverAt + limits.permitReconcileMs;
	const awaitsReport = budget.reportEarliestAt < budget.takenOverAt && now < budget.takenOverAt + limits.loadReportWaitMs;
	return awaitsAnnouncements || awaitsReport;
}

/**
Whether a load report rules out that the target has restarted unnoticed since the first of the outstanding permits was
granted. A later restart would break a running answer and thus be noticed at once.
*/
function isRestartRuledOut(budget: Budget): boolean {
	return budget.reportEarliestAt >= budget.busySince;
}

function wasOutstandingAt(permit: Pick<Permit, 'grantedAt' | 'isAdopted'>, time: number): boolean {
	return permit.isAdopted || permit.grantedAt <= time;
}

/** How many requests in the target's last load report these permits, and those that have ended since, can account for. */
export function countAccountedRequests(budget: Budget, permits: Iterable<Permit>): number {
	let count = 0;
	for (const permit of permits) {
		count += wasOutstandingAt(permit, budget.reportLatestAt) ? 1 : 0;
	}

	for (const permit of budget.endedPermits) {
		count += wasOutstandingAt(permit, budget.reportLatestAt) && permit.endedAt >= budget.reportEarliestAt ? 1 : 0;
	}

	return count;
}

/** Requests in the target's last load report that no permit here accounts for, such as those of a silent router. */
function countUnaccountedRequests(world: World, budget: Budget): number {
	return budget.reportEarliestAt < budget.lastColdAt
		? 0
		: Math.max(0, budget.reportedRunning - countAccountedRequests(budget, world.permits.group(budget.target)));
}

function countFreeColdSlots(world: World, budget: Budget, coldBudget: number): number {
	const limit = budget.consecutiveFailures > 0 ? 1 : coldBudget;
	return Math.max(0, limit - world.permits.count(budget.target) - countUnaccountedRequests(world, budget));
}

/** Number of permits that can be granted for a target now. */
export function countFreeTargetSlots(world: World, budget: Budget): number {
	const target = world.configuration.targets.get(budget.target);
	if (!target || !isStandingIn(world.configuration, target) || isReconciling(world, budget)) {
		return 0;
	}

	if (budget.phase === Phase.SetAside && world.now < budget.setAsideUntil) {
		return 0;
	}

	if (budget.phase === Phase.Cold || budget.phase === Phase.SetAside) {
		return countFreeColdSlots(world, budget, target.coldBudget);
	}

	const limit = isRestartRuledOut(budget) ? target.warmBudget : target.coldBudget;
	return Math.max(0, Math.min(budget.budget, limit) - world.permits.count(budget.target));
}

function updateBusyPeriod(world: World, budget: Budget) {
	if (world.permits.count(budget.target) > 0) {
		budget.lastBusyAt = world.now;
	} else if (world.now - budget.lastBusyAt >= minRestartMs) {
		budget.busySince = world.now;
	}
}

/**
Ends expired set-aside periods, tracks which targets are idle, and resets targets that operators took out of service or
moved to another address, so that they start cold again.
*/
export function budgetsSystem(world: World) {
	for (const budget of world.budgets.rows()) {
		const target = world.configuration.targets.get(budget.target);
		if (target && !isStandingIn(world.configuration, target)) {
			resetToColdBudget(world, budget, 'was taken out of service');
		}

		if (target && target.url !== budget.url) {
			resetToColdBudget(world, budget, 'has a new address');
			Object.assign(budget, {url: target.url, startId: '', busySince: world.now});
		}

		if (budget.phase === Phase.SetAside && world.now >= budget.setAsideUntil) {
			budget.phase = Phase.Cold;
			budget.lastColdAt = world.now;
		}

		updateBusyPeriod(world, budget);
	}
}
