/*
Planned stops. The instance is no longer advertised, but lingers for callers that have cached its address. Then it drains: calls that may
outlast the stop are refused on arrival, and the others finish. What is left at the end of the stop gets a final answer. Connections are
accepted until then, so that each caller gets a true answer. See docs/design/stops.md.
*/
import {MemberState} from '../messages.ts';
import {LogPart} from '../ports.ts';
import {RefusalKind} from '../refusal.ts';
import {createRefusal} from './admissions.ts';
import {abandonCalls} from './calls.ts';
import {
	addLogLine, StopPhase, type Gateway, type PlannedStop,
} from './gateway.ts';
import {CallState, type Call} from './rows.ts';

export function onStopRequested(gateway: Gateway, {at = gateway.now}: {at?: number} = {}) {
	if (gateway.stop) {
		return;
	}

	const {
		lingerMs, maxStopMs, stopFlushMs, stopExitMs,
	} = gateway.limits;
	gateway.stop = {
		requestedAt: Math.min(at, gateway.now),
		times: {
			lingerMs, maxStopMs, stopFlushMs, stopExitMs,
		},
		refusedCalls: 0,
	};
	gateway.state = MemberState.Leaving;
	addLogLine(gateway, {part: LogPart.Stop, text: 'stop requested', fields: describePhase(gateway, gateway.stop, 0)});
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
function describePhase({now, calls}: Gateway, {requestedAt, refusedCalls}: PlannedStop, dueMs: number): Record<string, number> {
	return {
		dueMs, afterMs: Math.round(now - requestedAt), calls: calls.size, refused: refusedCalls,
	};
}

/** Handlers of the phases of a planned stop; each returns whether its phase has ended. */
const stopPhaseHandlers: Record<StopPhase, (gateway: Gateway, stop: PlannedStop) => boolean> = {
	[StopPhase.Lingering](gateway, stop) {
		const {requestedAt, times: {lingerMs}} = stop;
		if (gateway.now - requestedAt < lingerMs) {
			return false;
		}

		gateway.stopPhase = StopPhase.Draining;
		addLogLine(gateway, {part: LogPart.Stop, text: 'takes no more callers', fields: describePhase(gateway, stop, lingerMs)});
		return true;
	},
	[StopPhase.Draining](gateway, stop) {
		const {requestedAt, times: {maxStopMs}} = stop;
		if (gateway.calls.size > 0 && gateway.now - requestedAt < maxStopMs) {
			return false;
		}

		gateway.stopPhase = StopPhase.Done;
		addLogLine(gateway, {part: LogPart.Stop, text: 'stopped', fields: {...describePhase(gateway, stop, maxStopMs), ...countCutCalls(gateway)}});
		abandonCalls(gateway, createRefusal(RefusalKind.Stopping, 'the router stopped', 0));
		gateway.outbox.push({kind: 'withdraw'}, {kind: 'stopped'});
		return true;
	},
	// Nothing left to do: the process exits.
	[StopPhase.Done]: () => false,
};

/** Advances a planned stop by the phases that are due: after a stall, several may be. */
export function stopSystem(gateway: Gateway) {
	if (gateway.stop && stopPhaseHandlers[gateway.stopPhase](gateway, gateway.stop)) {
		stopSystem(gateway);
	}
}
