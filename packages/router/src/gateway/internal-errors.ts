/*
Containment of exceptions in the router of routed calls: each is logged with the call and the target that it concerns and counted, and the
call gets a final answer, so that no exception ends the process or leaves a caller without an answer.
*/
import type {GatewayInbound, GatewayOutbound, GatewayOutboundOf} from '@shallotloom/core/gateway/ports.ts';
import type {StepFailure} from '@shallotloom/core/gateway/step.ts';
import {Outcome, RefusalKind, type Refusal} from '@shallotloom/core/refusal.ts';
import {AdapterPart, type Log} from '../log.ts';
import {endWithRefusal, type CallExchange} from './call-exchange.ts';
import type {GatewayMetrics} from './gateway-metrics.ts';

export type InternalErrors = {
	/** Logs and counts an exception; `part`: what threw. */
	report(part: string, error: unknown, about?: {request?: string | undefined; target?: string}): void;
	/** Returns a function that reports the errors of a listener. */
	createListenerLogger(part: AdapterPart): (error: Error) => void;
	/** Handles a part of the core's step that threw. */
	handleStepFailure(failure: StepFailure): void;
	/** Handles an action of the core whose handler threw. */
	handleActionError(action: GatewayOutbound, error: unknown): void;
	/** Ends an exchange of which the core has no call any more: with a final answer, or by cutting the one that has begun. */
	endExchange(id: string, outcome: Outcome): void;
};

export type InternalErrorsOptions = {
	exchanges: ReadonlyMap<string, CallExchange>;
	metrics: Pick<GatewayMetrics, 'countInternalError'>;
	log: Log;
	push: (inbound: GatewayInbound) => void;
	/** Called when a system of the core threw: what it left behind is unknown. */
	onSystemFailure: () => void;
};

export function createInternalRefusal(outcome: Outcome): Refusal {
	return {kind: RefusalKind.InternalError, outcome, detail: ''};
}

export function createInternalErrors({
	exchanges, metrics, log, push, onSystemFailure,
}: InternalErrorsOptions): InternalErrors {
	function reportInternalError(part: string, error: unknown, {request, target}: {request?: string | undefined; target?: string} = {}) {
		metrics.countInternalError(part);
		log.write({
			part: AdapterPart.Internal, level: 'error', text: `internal error: ${error instanceof Error ? error.stack : String(error)}`, request, fields: {in: part, target},
		});
	}

	function createListenerLogger(part: AdapterPart) {
		return (error: Error) => {
			metrics.countInternalError('accept');
			log.write({
				part, level: 'error', text: 'connection not accepted', fields: {reason: error.message},
			});
		};
	}

	function handleStepFailure({part, isSystem, call, error}: StepFailure) {
		reportInternalError(part, error, {request: call === undefined ? undefined : (exchanges.get(call)?.requestId ?? call)});
		if (isSystem) {
			onSystemFailure();
		}
	}

	function endFailedExchange(id: string, outcome: Outcome) {
		const exchange = exchanges.get(id);
		if (!exchange) {
			return;
		}

		try {
			endWithRefusal(exchange, createInternalRefusal(outcome));
		} finally {
			if (!exchange.response.writableEnded) {
				exchange.response.destroy();
			}
		}
	}

	/** What becomes of a call when the handler of an action throws; the other actions owe no caller anything. */
	const failedActionHandlers: {[Kind in GatewayOutbound['kind']]?: (action: GatewayOutboundOf<Kind>) => void} = {
		send({call}) {
			push({kind: 'callFailed', call, isUnsent: exchanges.get(call)?.controller === undefined});
		},
		releaseEvents({call}) {
			push({kind: 'callFailed', call, isUnsent: false});
		},
		deliverFailure({call}) {
			endFailedExchange(call, Outcome.Unknown);
		},
		refuse({call}) {
			endFailedExchange(call, Outcome.Unknown);
		},
	};

	function handleActionError(action: GatewayOutbound, error: unknown) {
		reportInternalError(action.kind, error, {
			...('call' in action && {request: exchanges.get(action.call)?.requestId}), ...('target' in action && {target: action.target}),
		});
		const handler = failedActionHandlers[action.kind] as ((action: GatewayOutbound) => void) | undefined;
		handler?.(action);
	}

	return {
		report: reportInternalError, createListenerLogger, handleStepFailure, handleActionError, endExchange: endFailedExchange,
	};
}
