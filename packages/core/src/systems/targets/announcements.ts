/*
Permit announcements: after a change of ownership, every router reports its permits for the target to the new owner.
*/
import type {PeerMessageOf} from '../../messages.ts';
import {RequestState} from '../../rows.ts';
import {send, type World} from '../../world.ts';
import {adoptPermit} from './permits.ts';

/** Reports this router's permits for a target to its owner, even if there are none: the owner waits for the message. */
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

	budget.awaitedAnnouncements.delete(from);
	for (const entry of message.entries) {
		adoptPermit(world, message.target, entry);
	}
}
