/*
Table of the open exchanges. Executes the core's decisions about them: attempts at targets, refusals, and replays of run records.
*/
import type {CallerRequest, Inbound} from '@shallotloom/core/ports.ts';
import {Outcome, RefusalKind, type Refusal} from '@shallotloom/core/refusal.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {OutboxHandlers} from './core-loop.ts';
import {endWithRefusal, type Exchange} from './exchange.ts';
import {createAttempts, sendBufferedAnswer} from './targets/attempt.ts';
import type {TargetAgents} from './targets/target-agents.ts';
import type {Timer} from './timer.ts';

export type ExchangesOptions = {
	world: World;
	timer: Timer;
	agents: TargetAgents;
	/** Passes an event to the core and schedules a step. */
	push: (inbound: Inbound) => void;
	/** Passes an event to the core without scheduling a step. */
	enqueue: (inbound: Inbound) => void;
	onRefused: (refusal: Refusal) => void;
};

export type Exchanges = {
	handlers: Pick<OutboxHandlers, 'startAnswer' | 'resumeAnswer' | 'abortAnswer' | 'refuse' | 'closed' | 'replay'>;
	/** Ends an exchange when the handler of an action for it threw, and frees what its request holds in the core. */
	fail(request: string): void;
	/** Adds an exchange and passes its request to the core. */
	open(exchange: Exchange, request: CallerRequest): void;
};

/** Interval at which streamed tokens are reported to the core. */
const tokenReportIntervalMs = 200;

export function createExchanges({
	world, timer, agents, push, enqueue, onRefused,
}: ExchangesOptions): Exchanges {
	const exchanges = new Map<string, Exchange>();
	const attempts = createAttempts({
		agents,
		now: timer.now,
		onStarted({requestId}, firstByteMs) {
			enqueue({kind: 'answerStarted', request: requestId, firstByteMs});
		},
		onEnded(ended) {
			if (exchanges.get(ended.request)?.isFinished) {
				exchanges.delete(ended.request);
			}

			push(ended);
		},
	});

	function removeExchange(request: string): Exchange | undefined {
		const exchange = exchanges.get(request);
		exchanges.delete(request);
		return exchange;
	}

	timer.subscribe(tokenReportIntervalMs, () => {
		for (const exchange of exchanges.values()) {
			if (exchange.nextOffset !== exchange.reportedTokens) {
				exchange.reportedTokens = exchange.nextOffset;
				enqueue({kind: 'answerProgress', request: exchange.requestId, outputTokens: exchange.nextOffset});
			}
		}
	});

	return {
		fail(request) {
			const exchange = removeExchange(request);
			if (!exchange) {
				return;
			}

			push({kind: 'callerGone', request});
			try {
				endWithRefusal(exchange, {kind: RefusalKind.InternalError, outcome: Outcome.Unknown, detail: ''});
			} catch {
				exchange.response.destroy();
			}
		},
		open(exchange, request) {
			exchanges.set(request.id, exchange);
			exchange.response.once('close', () => {
				if (!exchange.isFinished) {
					push({kind: 'callerGone', request: request.id});
				}
			});
			push({kind: 'callerRequest', request});
		},
		handlers: {
			startAnswer({request, target, url}) {
				const exchange = exchanges.get(request);
				if (exchange) {
					attempts.start(exchange, {target, url});
				}
			},
			resumeAnswer({request, target, url}) {
				const exchange = exchanges.get(request);
				if (exchange) {
					attempts.resume(exchange, {target, url});
				}
			},
			abortAnswer({request}) {
				const exchange = exchanges.get(request);
				const target = world.requests.get(request)?.target ?? '';
				const url = world.configuration.targets.get(target)?.url;
				if (exchange && url !== undefined) {
					void attempts.cancel(exchange, {target, url});
				}
			},
			refuse({request, refusal}) {
				onRefused(refusal);
				const exchange = removeExchange(request);
				if (exchange) {
					endWithRefusal(exchange, refusal);
				}
			},
			closed({request}) {
				exchanges.delete(request);
			},
			replay({request, answer}) {
				const bufferedAnswer = JSON.parse(answer) as Parameters<typeof sendBufferedAnswer>[1];
				const exchange = exchanges.get(request);
				if (exchange) {
					sendBufferedAnswer(exchange, bufferedAnswer);
					exchanges.delete(request);
				}
			},
		},
	};
}
