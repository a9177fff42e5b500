/*
Planned stop: the address is withdrawn, tickets are given back, targets are handed over, and running answers finish;
then the lease is given up and the process may exit. Callers that still keep the address are served until no answer that
named it is valid any more. See docs/design/stops.md.
*/
import {MemberState} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import {RequestState} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, log, type World} from '../../world.ts';
import {refuse} from '../requests/requests.ts';
import {getRoutes} from '../requests/routes.ts';
import {leavesLast, stoppingRefusal} from './leaving.ts';

/** Longest wait for replies of the Object API once the lease was given up. */
const repliesMs = 2 * second;

/** Period at which requests are looked at that no owner is left for. */
const unservedMs = 250;

/** Starts the stop; a second request changes nothing. */
export function onStopRequested(world: World) {
	if (world.stopRequestedAt !== undefined) {
		return;
	}

	world.stopRequestedAt = world.now;
	world.state = MemberState.Leaving;
	world.lease.nextRenewalAt = world.now;
	world.periodStartedAt.delete('digests');
	log(world, LogPart.Stop, 'leaving: address withdrawn, targets are handed over');
}

/** Refuses what nobody is left to serve, and tells the edge when nothing is left to finish. */
export function stopSystem(world: World) {
	if (world.stopRequestedAt === undefined) {
		return;
	}

	if (leavesLast(world) && startPeriodIfDue(world, 'stop.unserved', unservedMs)) {
		refuseUnserved(world);
	}

	const {lease, pendingOperations: operations, now} = world;
	const isDone = lease.isDeleted && (operations.size === 0 || now - lease.deletedAt >= repliesMs);
	if (isDone && startPeriodIfDue(world, 'stopped', Number.POSITIVE_INFINITY)) {
		world.outbox.push({kind: 'stopped'});
	}
}

/** With no active member left, a pool that has no owner gets none before this router has stopped. */
function refuseUnserved(world: World) {
	for (const request of world.requests.rows()) {
		if (request.state === RequestState.Queued && request.ticketOwner === '' && getRoutes(world, request.pool).length === 0) {
			refuse(world, request, stoppingRefusal());
		}
	}
}
