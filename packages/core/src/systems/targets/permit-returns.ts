/*
Handles the return of permits by their origin routers: the served tokens are charged, and the end of the attempt is
evidence for the budget of the target.
*/
import {AttemptEnd, type PeerMessageOf} from '../../messages.ts';
import {send, type World} from '../../world.ts';
import {updateMeanOutput, getOrCreateServedTokens} from '../fair-shares/served-tokens.ts';
import {onAttemptEnd} from './evidence.ts';
import {endPermit, getRequestOrigin} from './permits.ts';

/** Ends of attempts for which the served tokens are charged. */
const servedEnds = new Set([AttemptEnd.Whole, AttemptEnd.Broken, AttemptEnd.Cancelled, AttemptEnd.Mismatched]);

export function onPermitReturn(world: World, from: string, message: PeerMessageOf<'permitReturn'>) {
	const permit = world.permits.get(message.ticket);
	if (permit?.target !== message.target) {
		forwardReturn(world, from, message);
		return;
	}

	const outputTokens = Math.max(permit.outputTokens, message.outputTokens);
	endPermit(world, permit, outputTokens, servedEnds.has(message.end));
	if (message.end === AttemptEnd.Whole) {
		updateMeanOutput(getOrCreateServedTokens(world, permit), outputTokens);
	}

	onAttemptEnd(world, message, permit);
}

/** Forwards a return to the current owner when the origin router hasn't learnt of the change of ownership yet. */
function forwardReturn(world: World, from: string, message: PeerMessageOf<'permitReturn'>) {
	const owner = world.ownerships.get(message.target)?.owner ?? '';
	// Only a message that came directly from the origin router is forwarded, so it is forwarded at most once.
	if (owner !== world.self.id && from === getRequestOrigin(message.ticket)) {
		send(world, owner, message);
	}
}
