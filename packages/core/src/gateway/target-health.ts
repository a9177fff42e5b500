/*
What the ends of sends tell of a target. One that fails several requests in a row is set aside for a time that doubles with
each further failure; one that refuses counts as full for a moment. No probes are sent: a target is tried again with the
next call that chooses it.
*/
import {LogPart} from '../ports.ts';
import {suspectRestart} from './cold-limits.ts';
import {note, type Gateway} from './gateway.ts';
import {SendEnd} from './ports.ts';
import type {PoolTarget} from './rows.ts';

function setAside(gateway: Gateway, target: PoolTarget, reason: string) {
	const {setAsideMs, setAsideMaxMs, failuresInRow} = gateway.limits;
	const pauseMs = Math.min(setAsideMaxMs, setAsideMs * (2 ** Math.max(0, target.failuresInRow - failuresInRow)));
	target.setAsideUntil = gateway.now + pauseMs;
	note(gateway, {
		part: LogPart.Target, level: 'warn', text: 'set aside', fields: {
			target: target.id, reason, failuresInRow: target.failuresInRow, pauseMs,
		},
	});
}

function fail(gateway: Gateway, target: PoolTarget, reason: string) {
	target.failuresInRow += 1;
	if (target.failuresInRow >= gateway.limits.failuresInRow) {
		setAside(gateway, target, reason);
	}
}

/** What each end of a send tells of its target. */
const endHandlers: Record<SendEnd, (gateway: Gateway, target: PoolTarget) => void> = {
	[SendEnd.Whole](gateway, target) {
		if (target.failuresInRow >= gateway.limits.failuresInRow) {
			note(gateway, {part: LogPart.Target, text: 'taken back', fields: {target: target.id}});
		}

		target.failuresInRow = 0;
	},
	[SendEnd.NotSent](gateway, target) {
		suspectRestart(gateway, target);
		target.failuresInRow = Math.max(target.failuresInRow + 1, gateway.limits.failuresInRow);
		setAside(gateway, target, 'no connection');
	},
	[SendEnd.Refused](gateway, target) {
		target.fullUntil = gateway.now + gateway.limits.fullMs;
	},
	[SendEnd.WrongTarget](gateway, target) {
		target.failuresInRow = gateway.limits.failuresInRow;
		setAside(gateway, target, 'another target has its address');
	},
	[SendEnd.Failed](gateway, target) {
		fail(gateway, target, 'failed requests');
	},
	[SendEnd.Broken](gateway, target) {
		suspectRestart(gateway, target);
		fail(gateway, target, 'broken answers');
	},
};

/** Takes the end of a send as evidence of its target. */
export function noteEnd(gateway: Gateway, target: PoolTarget, end: SendEnd) {
	endHandlers[end](gateway, target);
}
