/*
Planned stop: the address is withdrawn, tickets are returned, targets are handed over, and running answers finish; then the
lease is deleted and the process may exit. Callers that have cached the address are served until no answer that contained
it is valid any more. See docs/design/stops.md.
*/
import {MemberState} from '../../messages.ts';
import {LogPart} from '../../ports.ts';
import {RequestState} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, log, type World} from '../../world.ts';
import {refuse} from '../requests/requests.ts';
import {getRoutes} from '../requests/routes.ts';
import {isLastToLeave, createStoppingRefusal} from './leaving.ts';

/** Maximum wait for outstanding replies of the Object API after the lease was deleted, in milliseconds. */
const maxReplyWaitMs = 2 * second;

/** Period of the check for requests that no owner is left to serve, in milliseconds. */
const unservedCheckMs = 250;

/** Starts the stop; a repeated request has no effect. */
export function onStopRequested(world: World) {
	if (world.stopRequestedAt !== undefined) {
		return;
	}

	world.stopRequestedAt = world.now;
	world.state = MemberState.Leaving;
	// Renews the lease and sends digests in this step, so that the other routers learn of the stop at once.
	world.lease.nextRenewalAt = world.now;
	world.periodStartedAt.delete('digests');
	log(world, LogPart.Stop, 'planned stop started: address withdrawn, handing over targets');
}

/** Refuses requests that no router is left to serve, and reports the end of the stop to the edge. */
export function stopSystem(world: World) {
	if (world.stopRequestedAt === undefined) {
		return;
	}

	if (isLastToLeave(world) && startPeriodIfDue(world, 'stop.unserved', unservedCheckMs)) {
		refuseUnservedRequests(world);
	}

	const {lease, pendingOperations: operations, now} = world;
	const isDone = lease.isDeleted && (operations.size === 0 || now - lease.deletedAt >= maxReplyWaitMs);
	if (isDone && startPeriodIfDue(world, 'stopped', Number.POSITIVE_INFINITY)) {
		world.outbox.push({kind: 'stopped'});
	}
}

/**
Refuses queued requests of pools without an owner: with no active member left, no router claims a target of such a pool
before this one stops.
*/
function refuseUnservedRequests(world: World) {
	for (const request of world.requests.rows()) {
		if (request.state === RequestState.Queued && request.ticketOwner === '' && getRoutes(world, request.pool).length === 0) {
			refuse(world, request, createStoppingRefusal());
		}
	}
}
