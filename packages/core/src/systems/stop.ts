/*
Planned stop: the address is withdrawn, tickets are given back, targets are handed over, and running answers finish;
then the process may exit. Callers that still keep the address are served until its time to live has passed.
*/
import {MemberState} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {due, log, type World} from '../world.ts';

/** Starts the stop; a second request changes nothing. */
export function onStopRequested(world: World) {
	if (world.stopAt !== undefined) {
		return;
	}

	world.stopAt = world.now;
	world.state = MemberState.Leaving;
	world.lease.nextRenewalAt = world.now;
	world.ranAt.delete('digests');
	log(world, LogPart.Stop, 'leaving: address withdrawn, targets are handed over');
}

/** Tells the edge when nothing is left to finish. */
export function stopSystem(world: World) {
	if (world.stopAt === undefined) {
		return;
	}

	const keptMs = 2 * world.limits.addressTtlMs;
	const isDone = world.now - world.stopAt >= keptMs
		&& world.requests.size === 0
		&& world.runWrites.size === 0
		&& world.budgets.size === 0
		&& world.operations.size === 0;
	if (isDone && due(world, 'stopped', Number.POSITIVE_INFINITY)) {
		world.outbox.push({kind: 'stopped'});
	}
}
