/*
Ends permits whose origin router is gone. A router that is alive reports its permits. One that is silent keeps them until
its lease has expired, or until a load report shows that fewer requests run at the target than there are permits.
*/
import {TicketReturnReason} from '../../messages.ts';
import type {Budget, Permit} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, send, type World} from '../../world.ts';
import {isAvailable} from '../membership/membership.ts';
import {isAlive} from '../membership/quorum.ts';
import {countAccountedRequests} from './budgets.ts';
import {endPermit} from './permits.ts';

/** A permit expires when its origin router is alive but hasn't reported it for this long, in milliseconds. */
const permitReportTimeoutMs = 4 * second;

/** Period of the check for abandoned permits, in milliseconds. */
const checkPeriodMs = 250;

/** Ends permits whose origin router has an expired lease, or is alive but, for example after a restart, doesn't report them. */
export function abandonedPermitsSystem(world: World) {
	if (!startPeriodIfDue(world, 'abandonedPermits', checkPeriodMs)) {
		return;
	}

	for (const permit of world.permits.rows()) {
		if (permit.origin !== world.self.id && isAbandoned(world, permit)) {
			endAbandonedPermit(world, permit);
		}
	}

	for (const budget of world.budgets.rows()) {
		endUnreportedPermits(world, budget);
	}
}

function isAbandoned(world: World, permit: Permit): boolean {
	const origin = world.members.get(permit.origin);
	if (!origin) {
		return true;
	}

	return isAlive(world, origin) ? world.now - permit.lastReportedAt > permitReportTimeoutMs : !isAvailable(world, origin);
}

function endAbandonedPermit(world: World, permit: Permit) {
	endPermit(world, permit, permit.outputTokens, true);
	// If the grant was lost, the origin router still waits for a permit; the returned ticket lets it queue the request again.
	send(world, permit.origin, {
		kind: 'ticketReturn', ticket: permit.ticket, reason: TicketReturnReason.NotOwner, next: '',
	});
}

/** Ends permits of silent routers in excess of the running requests that the target's load report counts. */
function endUnreportedPermits(world: World, budget: Budget) {
	const silent: Permit[] = [];
	const alive: Permit[] = [];
	for (const permit of world.permits.group(budget.target)) {
		(isOriginSilent(world, permit) ? silent : alive).push(permit);
	}

	// A report from before the last progress of a permit may lack its request, so it proves nothing.
	const isReportLater = silent.every(permit => permit.lastReportedAt < budget.reportEarliestAt);
	if (silent.length === 0 || !isReportLater) {
		return;
	}

	const running = Math.max(0, budget.reportedRunning - countAccountedRequests(budget, alive));
	for (const permit of silent.slice(running)) {
		endAbandonedPermit(world, permit);
	}
}

function isOriginSilent(world: World, {origin}: Permit): boolean {
	const member = world.members.get(origin);
	return origin !== world.self.id && (!member || !isAlive(world, member));
}
