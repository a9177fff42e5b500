/*
Budgets of the targets that this router owns. A target that is new, returned, taken over, restarted or suddenly slow
starts at its cold budget; evidence of good completions raises it in steps; a failing one is set aside for a time that
doubles. See docs/design/cold-start.md.
*/
import {
	AttemptEnd, Phase, type PeerMessageOf, type PermitReturn, type TargetHandover,
} from '../messages.ts';
import {LogPart, type InboundOf} from '../ports.ts';
import {RequestState, type Budget} from '../rows.ts';
import {
	log, send, type World,
} from '../world.ts';
import {isIn} from './routes.ts';
import {adoptPermit, endPermit} from './permits.ts';

/** Weight of a sample in the running means. */
const meanWeight = 0.1;

/** Slow answers in a row after which a target counts as fallen back into cold start. */
const slowInRowLimit = 2;

/** Starts the budget of a target that this router has just come to own; cold until evidence says otherwise. */
export function takeTarget(world: World, target: string, epoch: number, handover?: TargetHandover) {
	const configured = world.configuration.targets.get(target);
	const budget: Budget = {
		target,
		epoch,
		phase: Phase.Cold,
		budget: configured?.coldBudget ?? 1,
		completions: 0,
		failuresInRow: 0,
		setAsideUntil: 0,
		startId: '',
		reportedRunning: 0,
		reportedAt: Number.NEGATIVE_INFINITY,
		reportedCold: false,
		coldAt: world.now,
		reconcileUntil: world.now + world.limits.reconcileMs,
		awaiting: new Set([...world.members.rows()].map(member => member.id)),
		firstByteMs: 0,
		betweenTokensMs: 0,
		slowInRow: 0,
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
	budget.reconcileUntil = world.now;
	budget.awaiting.clear();
	for (const entry of handover.entries) {
		adoptPermit(world, budget.target, entry);
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
	return {
		phase: budget.phase,
		budget: budget.budget,
		entries: permits.map(({ticket, workspace, pool, inputTokens, outputTokens}) => ({
			ticket, workspace, pool, inputTokens, outputTokens,
		})),
	};
}

/** Tells the owner of a target which permits this router holds for it; none is told too. */
export function announcePermits(world: World, target: string) {
	const ownership = world.ownerships.get(target);
	if (!ownership?.owner) {
		return;
	}

	const running = [...world.requests.rows()].filter(request => request.target === target
		&& (request.state === RequestState.Running || request.state === RequestState.Claiming));
	send(world, ownership.owner, {
		kind: 'permitAnnounce',
		target,
		epoch: ownership.epoch,
		entries: running.map(({id, workspace, pool, inputTokens, outputTokens}) => ({
			ticket: id, workspace, pool, inputTokens, outputTokens,
		})),
	});
}

export function onPermitAnnounce(world: World, from: string, message: PeerMessageOf<'permitAnnounce'>) {
	const budget = world.budgets.get(message.target);
	if (!budget) {
		return;
	}

	budget.awaiting.delete(from);
	for (const entry of message.entries) {
		adoptPermit(world, message.target, entry);
	}
}

/** Takes a load report of a target; a new start id means that it restarted, and is cold again. */
export function onLoadReport(world: World, report: InboundOf<'loadReport'>) {
	const budget = world.budgets.get(report.target);
	if (!budget) {
		return;
	}

	if (!report.reachable) {
		setAside(world, budget);
		return;
	}

	if (budget.startId !== '' && budget.startId !== report.startId) {
		fallBack(world, budget, 'restarted');
	}

	budget.startId = report.startId;
	budget.reportedRunning = report.running;
	budget.reportedAt = world.now - report.ageMs;
	budget.reportedCold = report.cold ?? false;
}

/** Returns a target to its cold budget. */
export function fallBack(world: World, budget: Budget, reason: string) {
	const configured = world.configuration.targets.get(budget.target);
	if (budget.phase !== Phase.Cold) {
		log(world, LogPart.Target, `${budget.target} ${reason}, back to its cold budget`, 'warn');
	}

	budget.phase = Phase.Cold;
	budget.budget = configured?.coldBudget ?? 1;
	budget.completions = 0;
	budget.slowInRow = 0;
	budget.coldAt = world.now;
}

function setAside(world: World, budget: Budget) {
	const {setAsideMs, setAsideMaxMs} = world.limits;
	if (budget.phase === Phase.SetAside && world.now < budget.setAsideUntil) {
		return;
	}

	const pause = Math.min(setAsideMaxMs, setAsideMs * (2 ** budget.failuresInRow));
	fallBack(world, budget, 'failed');
	budget.failuresInRow += 1;
	budget.phase = Phase.SetAside;
	budget.setAsideUntil = world.now + pause;
	log(world, LogPart.Target, `${budget.target} set aside for ${pause} ms`, 'warn');
}

type AttemptHandler = (world: World, budget: Budget, attempt: PermitReturn) => void;

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
export function onAttemptEnd(world: World, attempt: PermitReturn) {
	const budget = world.budgets.get(attempt.target);
	if (budget) {
		attemptHandlers[attempt.end](world, budget, attempt);
	}
}

function onBroken(world: World, budget: Budget) {
	fallBack(world, budget, 'broke an answer');
}

function onWhole(world: World, budget: Budget, attempt: PermitReturn) {
	budget.failuresInRow = 0;
	if (isSlow(world, budget, attempt)) {
		budget.slowInRow += 1;
		if (budget.slowInRow >= slowInRowLimit && budget.phase !== Phase.Cold) {
			fallBack(world, budget, 'turned slow');
		}

		return;
	}

	budget.slowInRow = 0;
	budget.firstByteMs = mean(budget.firstByteMs, attempt.firstByteMs);
	budget.betweenTokensMs = mean(budget.betweenTokensMs, attempt.betweenTokensMs);
	budget.completions += 1;
	raise(world, budget);
}

function mean(before: number, sample: number): number {
	return before === 0 ? sample : (before * (1 - meanWeight)) + (sample * meanWeight);
}

function isSlow({limits}: World, budget: Budget, attempt: PermitReturn): boolean {
	return (budget.firstByteMs > 0 && attempt.firstByteMs > budget.firstByteMs * limits.slowFactor)
		|| (budget.betweenTokensMs > 0 && attempt.betweenTokensMs > budget.betweenTokensMs * limits.slowFactor);
}

/** Raises the budget by one step once there is evidence enough at the present one. */
function raise(world: World, budget: Budget) {
	const configured = world.configuration.targets.get(budget.target);
	if (!configured || budget.phase === Phase.Warm || budget.reportedCold) {
		return;
	}

	const needed = budget.phase === Phase.Cold ? world.limits.coldCompletions : budget.budget;
	if (budget.completions < needed) {
		return;
	}

	budget.completions = 0;
	budget.budget = Math.min(configured.warmBudget, Math.max(budget.budget + 1, Math.floor(budget.budget * world.limits.rampFactor)));
	budget.phase = budget.budget === configured.warmBudget ? Phase.Warm : Phase.Ramping;
}

/** Whether the owner before, or the holders of its permits, may still be unheard. */
function isReconciling(world: World, budget: Budget): boolean {
	if (world.now >= budget.reconcileUntil) {
		return false;
	}

	return budget.awaiting.size > 0 || budget.reportedAt < budget.coldAt;
}

/** Permits that a target can take at this moment. */
export function freeSlots(world: World, budget: Budget): number {
	const target = world.configuration.targets.get(budget.target);
	if (!target || !isIn(world.configuration, target) || isReconciling(world, budget)) {
		return 0;
	}

	if (budget.phase === Phase.SetAside && world.now < budget.setAsideUntil) {
		return 0;
	}

	const permits = world.permits.count(budget.target);
	if (budget.phase === Phase.Cold || budget.phase === Phase.SetAside) {
		const reported = budget.reportedAt >= budget.coldAt ? budget.reportedRunning : 0;
		return Math.max(0, target.coldBudget - Math.max(permits, reported));
	}

	return Math.max(0, Math.min(budget.budget, target.warmBudget) - permits);
}

/** Resets budgets whose target came back: a target or failure domain that was out starts cold. */
export function budgetsSystem(world: World) {
	for (const budget of world.budgets.rows()) {
		const target = world.configuration.targets.get(budget.target);
		if (target && !isIn(world.configuration, target)) {
			fallBack(world, budget, 'was taken out');
			budget.coldAt = world.now;
		}

		if (budget.phase === Phase.SetAside && world.now >= budget.setAsideUntil) {
			budget.phase = Phase.Cold;
			budget.coldAt = world.now;
		}
	}
}
