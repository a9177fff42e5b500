/*
Overload of this process: its event loop stands still because work arrives faster than its share of the processor allows.
While that lasts, callers are sent to other instances, and silence of the others is no sign that they are gone.
*/
import {LogPart} from '../ports.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';

export function onStalled(gateway: Gateway, {ms}: GatewayInboundOf<'stalled'>) {
	const {limits, now, instances} = gateway;
	for (const instance of instances.rows()) {
		instance.stalledMs = Math.min(instance.stalledMs + ms, limits.maxStallAllowanceMs);
	}

	if (ms < limits.overloadStallMs) {
		return;
	}

	if (!isOverloaded(gateway)) {
		addLogLine(gateway, {
			part: LogPart.Request, level: 'warn', text: 'overloaded: the event loop stood still', fields: {stallMs: Math.round(ms), calls: gateway.calls.size},
		});
	}

	gateway.overloadedUntil = now + limits.overloadRecoveryMs;
}

/** Whether this instance has recently stood still for long. */
export function isOverloaded({now, overloadedUntil}: Gateway): boolean {
	return now < overloadedUntil;
}
