/*
Open exchanges and what the core orders for them: attempts at targets, refusals, and answers from run records.
*/
import type {CallerRequest, Inbound} from '@shallotloom/core/ports.ts';
import type {Refusal} from '@shallotloom/core/refusal.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {Edges} from './core-loop.ts';
import {endWithRefusal, type Exchange} from './exchange.ts';
import {createAttempts, deliver} from './targets/attempt.ts';
import type {TargetAgents} from './targets/target-client.ts';
import type {Timer} from './timer.ts';

export type ExchangesOptions = {
	world: World;
	timer: Timer;
	agents: TargetAgents;
	/** Tells the core; a step follows at once. */
	push: (inbound: Inbound) => void;
	/** Tells the core with its next step. */
	note: (inbound: Inbound) => void;
	onRefused: (refusal: Refusal) => void;
};

export type Exchanges = {
	edges: Pick<Edges, 'startAnswer' | 'resumeAnswer' | 'abortAnswer' | 'refuse' | 'closed' | 'replay'>;
	/** Takes a caller's request and hands it to the core. */
	open(exchange: Exchange, request: CallerRequest): void;
};

/** Period at which the core hears of streamed tokens, in milliseconds. */
const tokenReportMs = 200;

/** Creates the table of open exchanges. */
export function createExchanges({
	world, timer, agents, push, note, onRefused,
}: ExchangesOptions): Exchanges {
	const exchanges = new Map<string, Exchange>();
	const attempts = createAttempts({
		agents,
		now: timer.now,
		onStarted({request}, firstByteMs) {
			note({kind: 'answerStarted', request, firstByteMs});
		},
		onEnded(ended) {
			if (exchanges.get(ended.request)?.isFinished) {
				exchanges.delete(ended.request);
			}

			push(ended);
		},
	});

	function take(request: string): Exchange | undefined {
		const exchange = exchanges.get(request);
		exchanges.delete(request);
		return exchange;
	}

	timer.subscribe(tokenReportMs, () => {
		for (const exchange of exchanges.values()) {
			if (exchange.offset !== exchange.reported) {
				exchange.reported = exchange.offset;
				note({kind: 'answerProgress', request: exchange.request, outputTokens: exchange.offset});
			}
		}
	});

	return {
		open(exchange, request) {
			exchanges.set(request.id, exchange);
			exchange.response.once('close', () => {
				if (!exchange.isFinished) {
					push({kind: 'callerGone', request: request.id});
				}
			});
			push({kind: 'callerRequest', request});
		},
		edges: {
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
				const exchange = take(request);
				if (exchange) {
					endWithRefusal(exchange, refusal);
				}
			},
			closed({request}) {
				exchanges.delete(request);
			},
			replay({request, answer}) {
				const exchange = take(request);
				if (exchange) {
					deliver(exchange, JSON.parse(answer) as Parameters<typeof deliver>[1]);
				}
			},
		},
	};
}
