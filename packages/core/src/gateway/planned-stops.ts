/*
Planned stops. The instance is no longer advertised, but lingers for callers that have cached its address. Then it accepts no new
connections and drains: calls that may outlast the stop are refused on arrival, and the others finish. What is left at the end of the stop
gets a final answer.
*/
import {MemberState} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {RefusalKind} from '../refusal.ts';
import {createRefusal} from './admissions.ts';
import {abandonCalls} from './calls.ts';
import {addLogLine, StopPhase, type Gateway} from './gateway.ts';

export function onStopRequested(gateway: Gateway) {
	if (gateway.stopRequestedAt !== undefined) {
		return;
	}

	gateway.stopRequestedAt = gateway.now;
	gateway.state = MemberState.Leaving;
	addLogLine(gateway, {part: LogPart.Stop, text: 'stop requested', fields: {calls: gateway.calls.size}});
}

/** Handlers of the phases of a planned stop. */
const stopPhaseHandlers: Record<StopPhase, (gateway: Gateway, sinceMs: number) => void> = {
	[StopPhase.Lingering](gateway, sinceMs) {
		if (sinceMs >= gateway.limits.lingerMs) {
			gateway.stopPhase = StopPhase.Draining;
			gateway.outbox.push({kind: 'closeListener'});
			addLogLine(gateway, {part: LogPart.Stop, text: 'takes no more callers', fields: {calls: gateway.calls.size}});
		}
	},
	[StopPhase.Draining](gateway, sinceMs) {
		if (gateway.calls.size === 0 || sinceMs >= gateway.limits.maxStopMs) {
			gateway.stopPhase = StopPhase.Done;
			addLogLine(gateway, {part: LogPart.Stop, text: 'stopped', fields: {calls: gateway.calls.size, afterMs: Math.round(sinceMs)}});
			abandonCalls(gateway, createRefusal(RefusalKind.Stopping, 'the router stopped', 0));
			gateway.outbox.push({kind: 'withdraw'}, {kind: 'stopped'});
		}
	},
	[StopPhase.Done]() {
		// Nothing left to do: the process exits.
	},
};

/** Advances a planned stop. */
export function stopSystem(gateway: Gateway) {
	if (gateway.stopRequestedAt !== undefined) {
		stopPhaseHandlers[gateway.stopPhase](gateway, gateway.now - gateway.stopRequestedAt);
	}
}
