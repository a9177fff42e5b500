/*
What targets say of themselves in their answers: that they are leaving, and that they want no request from this instance for
some time. Both hold for one process of a target, whatever the platform lists meanwhile, so they are kept beyond a removal of
the target's row. Digests report leaving targets to the other instances; a pause concerns only the instance that was asked.
*/
import {LogPart} from '../ports.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';
import {
	TargetStanding, type FormerTarget, type Instance, type ListedTarget, type PoolTarget,
} from './rows.ts';

export type TargetProcess = {target: string; startId: string};

/** Finds the process of a target: its row, or what is kept of it after its removal. */
export function findProcess({targets, formerTargets}: Gateway, {target: id, startId}: TargetProcess): PoolTarget | FormerTarget | undefined {
	const target = targets.get(id);
	return target?.startId === startId ? target : formerTargets.get(createFormerTargetKey({target: id, startId}));
}

function createFormerTargetKey({target, startId}: TargetProcess): string {
	return `${target}/${startId}`;
}

function markAsLeaving(gateway: Gateway, targetProcess: TargetProcess, source: string) {
	const known = findProcess(gateway, targetProcess);
	if (!known || known.hasAnnouncedLeaving) {
		return;
	}

	known.hasAnnouncedLeaving = true;
	const target = gateway.targets.get(targetProcess.target);
	if (target === known) {
		target.standing = TargetStanding.Leaving;
	}

	addLogLine(gateway, {part: LogPart.Target, text: 'announced that it is leaving', fields: {...targetProcess, source}});
}

export function onTargetLeaving(gateway: Gateway, {target, startId}: GatewayInboundOf<'targetLeaving'>) {
	markAsLeaving(gateway, {target, startId}, 'its answer');
}

export function onTargetPause(gateway: Gateway, {target, startId, pauseMs}: GatewayInboundOf<'targetPause'>) {
	const {now, limits} = gateway;
	const known = findProcess(gateway, {target, startId});
	if (!known) {
		return;
	}

	const pausedUntil = now + Math.min(pauseMs, limits.maxTargetPauseMs);
	if (known.pausedUntil <= now) {
		addLogLine(gateway, {
			part: LogPart.Target, level: 'warn', text: 'requested a pause', fields: {target, pauseMs},
		});
	}

	known.pausedUntil = Math.max(known.pausedUntil, pausedUntil);
}

/** Applies the leaving targets that another instance reported in a digest. */
export function applyReportedLeavingTargets(gateway: Gateway, {id, targets: entries}: Pick<Instance, 'id' | 'targets'>) {
	for (const {target, leavingStartId} of entries) {
		if (leavingStartId !== undefined) {
			markAsLeaving(gateway, {target, startId: leavingStartId}, id);
		}
	}
}

/** Whether a target wants no request from this instance now. */
export function isPaused({now}: Gateway, {pausedUntil}: PoolTarget): boolean {
	return now < pausedUntil;
}

/** Keeps what the process of a target said of itself when its row is removed or replaced. */
export function recordFormerTarget({formerTargets, now}: Gateway, {id, startId, hasAnnouncedLeaving, pausedUntil, rateLimit}: PoolTarget) {
	const key = createFormerTargetKey({target: id, startId});
	// Deleted first, so that the entries stay in the order of their removal.
	formerTargets.delete(key);
	formerTargets.set(key, {
		removedAt: now, hasAnnouncedLeaving, pausedUntil, rateLimit,
	});
}

/** Finds what is kept of a listed process whose row was removed before; undefined for one that had none. */
export function findFormerTarget({formerTargets}: Gateway, {id, startId}: ListedTarget): FormerTarget | undefined {
	return formerTargets.get(createFormerTargetKey({target: id, startId}));
}

/** Forgets processes whose rows were removed long ago. */
export function formerTargetsSystem({formerTargets, now, limits}: Gateway) {
	for (const [key, {removedAt}] of formerTargets) {
		if (now - removedAt <= limits.formerTargetMs) {
			// Entries are in the order of their removal.
			return;
		}

		formerTargets.delete(key);
	}
}
