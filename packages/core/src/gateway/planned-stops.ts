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
import {CallState, type Call} from './rows.ts';

export function onStopRequested(gateway: Gateway) {
	if (gateway.stopRequestedAt !== undefined) {
		return;
	}

	gateway.stopRequestedAt = gateway.now;
	gateway.state = MemberState.Leaving;
	addLogLine(gateway, {part: LogPart.Stop, text: 'stop requested', fields: describePhase(gateway, 0)});
}

/** What a call that is cut at the end of a stop has become. */
enum CutCall {
	/** Part of its answer was delivered: its connection is closed. */
	Begun = 'begun',
	/** A target may have run it: its caller is told so. */
	MayHaveRun = 'mayHaveRun',
	NotRun = 'notRun',
}

function getCutCall({hasAnswerBytes, mayHaveRun, state}: Call): CutCall {
	if (hasAnswerBytes) {
		return CutCall.Begun;
	}

	return mayHaveRun || state === CallState.Sent ? CutCall.MayHaveRun : CutCall.NotRun;
}

function countCutCalls({calls}: Gateway): Record<CutCall, number> {
	const counts = {[CutCall.Begun]: 0, [CutCall.MayHaveRun]: 0, [CutCall.NotRun]: 0};
	for (const call of calls.rows()) {
		counts[getCutCall(call)] += 1;
	}

	return counts;
}

/** Log fields of a phase: when it was due and when it ran, in milliseconds after the request to stop. */
function describePhase({now, stopRequestedAt, calls, refusedWhileStopping}: Gateway, dueMs: number): Record<string, number> {
	return {
		dueMs, afterMs: Math.round(now - (stopRequestedAt ?? now)), calls: calls.size, refused: refusedWhileStopping,
	};
}

/** Handlers of the phases of a planned stop. */
const stopPhaseHandlers: Record<StopPhase, (gateway: Gateway, sinceMs: number) => void> = {
	[StopPhase.Lingering](gateway, sinceMs) {
		if (sinceMs >= gateway.limits.lingerMs) {
			gateway.stopPhase = StopPhase.Draining;
			gateway.outbox.push({kind: 'closeListener'});
			addLogLine(gateway, {part: LogPart.Stop, text: 'takes no more callers', fields: describePhase(gateway, gateway.limits.lingerMs)});
		}
	},
	[StopPhase.Draining](gateway, sinceMs) {
		if (gateway.calls.size === 0 || sinceMs >= gateway.limits.maxStopMs) {
			gateway.stopPhase = StopPhase.Done;
			addLogLine(gateway, {part: LogPart.Stop, text: 'stopped', fields: {...describePhase(gateway, gateway.limits.maxStopMs), ...countCutCalls(gateway)}});
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
