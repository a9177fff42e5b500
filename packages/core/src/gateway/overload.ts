/*
Overload of this process: work arrives faster than its share of the processor allows, which uses that up or lets the event loop
stand still. While that lasts, callers are sent to other instances, and silence of the others is no sign that they are gone.
*/
import {LogPart} from '../ports.ts';
import {addLogLine, type Gateway} from './gateway.ts';
import type {GatewayInboundOf} from './ports.ts';

export function onStalled(gateway: Gateway, {ms}: GatewayInboundOf<'stalled'>) {
	const {limits, instances} = gateway;
	for (const instance of instances.rows()) {
		instance.stalledMs = Math.min(instance.stalledMs + ms, limits.maxStallAllowanceMs);
	}

	if (ms >= limits.overloadStallMs) {
		gateway.streamsHeldUntil = gateway.now + limits.streamHoldMs;
		extendOverload(gateway, {stallMs: Math.round(ms)});
	}
}

/** Counts this instance as overloaded for some time. */
export function extendOverload(gateway: Gateway, cause: {stallMs: number} | {use: number}) {
	if (!isOverloaded(gateway)) {
		addLogLine(gateway, {
			part: LogPart.Request, level: 'warn', text: 'overloaded', fields: {...cause, calls: gateway.calls.size},
		});
	}

	gateway.overloadedUntil = gateway.now + gateway.limits.overloadRecoveryMs;
}

/** Whether this instance has recently stood still for long, or used up its processor. */
export function isOverloaded({now, overloadedUntil}: Gateway): boolean {
	return now < overloadedUntil;
}
