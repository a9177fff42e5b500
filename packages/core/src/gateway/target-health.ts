/*
Passive health checks: the ends of sends show the state of a target. One with several consecutive failures is set aside for
a time that doubles with each further failure; one that refuses a request is treated as full for a short time. No probes are
sent: after that time, the next call for which the target is chosen shows whether it has recovered.
*/
import {LogPart} from '../ports.ts';
import {suspectRestart} from './cold-limits.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import {SendEnd} from './ports.ts';
import type {PoolTarget} from './rows.ts';

function setAside(gateway: Gateway, target: PoolTarget, reason: string) {
	const {minSetAsideMs, maxSetAsideMs, failuresBeforeSetAside} = gateway.limits;
	const pauseMs = Math.min(maxSetAsideMs, minSetAsideMs * (2 ** Math.max(0, target.consecutiveFailures - failuresBeforeSetAside)));
	target.setAsideUntil = gateway.now + pauseMs;
	addLogLine(gateway, {
		part: LogPart.Target, level: 'warn', text: 'set aside', fields: {
			target: target.id, reason, failuresInRow: target.consecutiveFailures, pauseMs,
		},
	});
}

function recordFailure(gateway: Gateway, target: PoolTarget, reason: string) {
	target.consecutiveFailures += 1;
	if (target.consecutiveFailures >= gateway.limits.failuresBeforeSetAside) {
		setAside(gateway, target, reason);
	}
}

/** Handles the end of a send for its target. */
const endHandlers: Record<SendEnd, (gateway: Gateway, target: PoolTarget) => void> = {
	[SendEnd.Complete](gateway, target) {
		if (target.consecutiveFailures >= gateway.limits.failuresBeforeSetAside) {
			addLogLine(gateway, {part: LogPart.Target, text: 'taken back', fields: {target: target.id}});
		}

		target.consecutiveFailures = 0;
	},
	[SendEnd.NotSent](gateway, target) {
		target.connectionFailedAt = gateway.now;
		suspectRestart(gateway, target);
		target.consecutiveFailures = Math.max(target.consecutiveFailures + 1, gateway.limits.failuresBeforeSetAside);
		setAside(gateway, target, 'no connection');
	},
	[SendEnd.Unsendable]() {
		// The request is at fault, not the target.
	},
	[SendEnd.NoResource]() {
		// This process is at fault, not the target.
	},
	[SendEnd.Refused](gateway, target) {
		target.fullUntil = gateway.now + gateway.limits.fullAfterRefusalMs;
	},
	[SendEnd.WrongTarget](gateway, target) {
		target.consecutiveFailures = gateway.limits.failuresBeforeSetAside;
		setAside(gateway, target, 'another target has its address');
	},
	[SendEnd.Failed](gateway, target) {
		recordFailure(gateway, target, 'failed requests');
	},
	[SendEnd.Broken](gateway, target) {
		suspectRestart(gateway, target);
		recordFailure(gateway, target, 'broken answers');
	},
};

/** Updates the health of a target by the end of a send. */
export function handleSendEnd(gateway: Gateway, target: PoolTarget, end: SendEnd) {
	endHandlers[end](gateway, target);
}
