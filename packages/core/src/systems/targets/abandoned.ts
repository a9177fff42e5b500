/*
Frees permits whose holder is gone. A holder that lives reports its permits; one that isn't heard any more keeps them until
its lease has lapsed, or until a load report shows that fewer requests run than there are permits.
*/
import {TicketReturnReason} from '../../messages.ts';
import type {Budget, Permit} from '../../rows.ts';
import {second} from '../../units.ts';
import {startPeriodIfDue, send, type World} from '../../world.ts';
import {isAvailable} from '../membership/membership.ts';
import {isAlive} from '../membership/quorum.ts';
import {explainedBy} from './budgets.ts';
import {endPermit} from './permits.ts';

/** A permit that its holder hasn't reported for this long is void, in milliseconds. */
const unseenMs = 4 * second;

/** Period at which permits are looked through, in milliseconds. */
const sweepMs = 250;

/** Drops permits whose holder has lapsed, has restarted, or lives but doesn't report them any more. */
export function abandonedSystem(world: World) {
	if (!startPeriodIfDue(world, 'abandoned', sweepMs)) {
		return;
	}

	for (const permit of world.permits.rows()) {
		if (permit.origin !== world.self.id && isAbandoned(world, permit)) {
			drop(world, permit);
		}
	}

	for (const budget of world.budgets.rows()) {
		dropUnreported(world, budget);
	}
}

function isAbandoned(world: World, permit: Permit): boolean {
	const holder = world.members.get(permit.origin);
	if (!holder) {
		return true;
	}

	return isAlive(world, holder) ? world.now - permit.lastReportedAt > unseenMs : !isAvailable(world, holder);
}

function drop(world: World, permit: Permit) {
	endPermit(world, permit, permit.outputTokens, true);
	// A holder that never got the grant still waits for it.
	send(world, permit.origin, {
		kind: 'ticketReturn', ticket: permit.ticket, reason: TicketReturnReason.NotOwner, next: '',
	});
}

/** Drops as many permits of holders that aren't heard as the target's load report doesn't show. */
function dropUnreported(world: World, budget: Budget) {
	const silent: Permit[] = [];
	const heard: Permit[] = [];
	for (const permit of world.permits.group(budget.target)) {
		(isSilent(world, permit) ? silent : heard).push(permit);
	}

	const isOfSilence = silent.every(permit => permit.lastReportedAt < budget.reportEarliestAt);
	if (silent.length === 0 || !isOfSilence) {
		return;
	}

	const running = Math.max(0, budget.reportedRunning - explainedBy(budget, heard));
	for (const permit of silent.slice(running)) {
		drop(world, permit);
	}
}

function isSilent(world: World, {origin}: Permit): boolean {
	const holder = world.members.get(origin);
	return origin !== world.self.id && (!holder || !isAlive(world, holder));
}
