/*
Takes permits back from their holders: what was served is charged, and the end of the attempt is evidence for the budget of
the target.
*/
import {AttemptEnd, type PeerMessageOf} from '../../messages.ts';
import {send, type World} from '../../world.ts';
import {updateMeanOutput, getOrCreateServedTokens} from '../fair-shares/served-tokens.ts';
import {onAttemptEnd} from './evidence.ts';
import {endPermit, originOf} from './permits.ts';

const servedEnds = new Set([AttemptEnd.Whole, AttemptEnd.Broken, AttemptEnd.Cancelled, AttemptEnd.Mismatched]);

export function onPermitReturn(world: World, from: string, message: PeerMessageOf<'permitReturn'>) {
	const permit = world.permits.get(message.ticket);
	if (permit?.target !== message.target) {
		passOn(world, from, message);
		return;
	}

	const outputTokens = Math.max(permit.outputTokens, message.outputTokens);
	endPermit(world, permit, outputTokens, servedEnds.has(message.end));
	if (message.end === AttemptEnd.Whole) {
		updateMeanOutput(getOrCreateServedTokens(world, permit), outputTokens);
	}

	onAttemptEnd(world, message, permit);
}

/** Sends a holder's message to the owner that came after this router, of which the holder hasn't heard yet. */
function passOn(world: World, from: string, message: PeerMessageOf<'permitReturn'>) {
	const owner = world.ownerships.get(message.target)?.owner ?? '';
	if (owner !== world.self.id && from === originOf(message.ticket)) {
		send(world, owner, message);
	}
}
