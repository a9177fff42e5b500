/*
One send of a call to a target, and the way of the answer back. A stream is passed on event by event as it comes; any other
answer is passed on once it is whole, so that one that breaks can be asked for again.
*/
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {SendEnd, type GatewayInbound, type GatewayOutboundOf} from '@shallotloom/core/gateway/ports.ts';
import type {LoadReport} from '@shallotloom/core/gateway/rows.ts';
import {deliver, type CallExchange} from './call-exchange.ts';
import type {CallFormat} from './call-format.ts';
import {answerHeaders} from './connection-headers.ts';
import {createEventBuffer} from './event-buffer.ts';
import type {TargetPools} from './target-pools.ts';

export type DispatchController = Dispatcher.DispatchController;

export type TargetSendOptions = {
	pools: TargetPools;
	format: CallFormat;
	/** Tells the core; a step follows at once. */
	push: (inbound: GatewayInbound) => void;
};

type Order = GatewayOutboundOf<'send'>;

/** Codes of errors before any byte of a request left. */
const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']);

/** Statuses that promise that a request has not run; a target that has run it must not give them. */
const promiseStatuses = new Set([408, 421, 429, 503]);

const firstErrorStatus = 500;

/** Answers of this size are kept until they are whole, in bytes; larger ones are passed on as they come. */
const heldAnswerBytes = 1024 * 1024;

/** Why a send was cancelled, as an error that undici hands back. */
class CancelledError extends Error {
	override name = 'CancelledError';
}

/** Cancels what a target is doing for a call: its connection is closed. */
export function cancelSend(exchange: CallExchange) {
	exchange.send = 0;
	exchange.controller?.abort(new CancelledError('cancelled'));
	exchange.controller = undefined;
}

/** Sends a call to a target. */
export function sendToTarget(exchange: CallExchange, order: Order, options: TargetSendOptions) {
	const {pools, format, push} = options;
	exchange.send = order.send;
	exchange.failure = undefined;
	const headers = format.targetHeaders(exchange.headers, {
		target: order.target,
		workspace: order.workspace,
		hasKeys: order.hasKeys,
		remainingMs: order.remainingMs,
		lastEventId: order.isResumed ? exchange.lastEventId : undefined,
	});
	const answer = createAnswer(exchange, order, {format, push});
	let wasSent = false;

	pools.of(order.address).dispatch({
		path: exchange.url,
		method: exchange.method,
		headers,
		body: exchange.body ?? null,
	}, {
		onRequestStart(controller) {
			if (exchange.send !== order.send) {
				controller.abort(new CancelledError('cancelled before it was sent'));
				return;
			}

			wasSent = true;
			exchange.controller = controller;
		},
		onResponseStart(controller, status, responseHeaders) {
			if (status >= 200) {
				answer.start(controller, status, responseHeaders);
			}
		},
		onResponseData(controller, chunk) {
			answer.data(controller, chunk);
		},
		onResponseEnd() {
			if (pools.isResetting()) {
				answer.fail(SendEnd.Broken, 'connection reset at the end of the answer');
				return;
			}

			answer.end();
		},
		onResponseError(_controller, error) {
			const {code} = error as {code?: string};
			const isUnsent = !wasSent && (code === undefined || unsentCodes.has(code) || code.startsWith('UND_ERR'));
			answer.fail(isUnsent ? SendEnd.NotSent : SendEnd.Broken, code ?? error.message);
		},
	});
}

type Answer = {
	start(controller: DispatchController, status: number, headers: IncomingHttpHeaders): void;
	data(controller: DispatchController, chunk: Buffer): void;
	end(): void;
	fail(end: SendEnd, detail: string): void;
};

/** How the body of an answer is passed on. */
type BodyRelay = {
	data(controller: DispatchController, chunk: Buffer): void;
	/** How the answer ended. */
	end(): {end: SendEnd; detail: string};
};

function createAnswer(exchange: CallExchange, order: Order, {format, push}: Omit<TargetSendOptions, 'pools'>): Answer {
	const {call, send} = order;
	let load: LoadReport | undefined;
	let body: BodyRelay | undefined;
	let hasEnded = false;
	let hasStarted = false;

	function isCurrent(): boolean {
		return !hasEnded && exchange.send === send;
	}

	function finish(end: SendEnd, detail: string) {
		if (isCurrent()) {
			hasEnded = true;
			exchange.controller = undefined;
			push({
				kind: 'sendEnded', call, send, end, load, detail,
			});
		}
	}

	function started() {
		if (!hasStarted) {
			hasStarted = true;
			push({
				kind: 'answerStarted', call, send, load,
			});
		}
	}

	function delivered() {
		push({kind: 'answerDelivered', call});
	}

	return {
		start(controller, status, headers) {
			if (!isCurrent()) {
				return;
			}

			const reading = format.readAnswer(status, headers, exchange.requestId);
			if (!reading.isOwn) {
				finish(SendEnd.Broken, 'answer of another request');
				controller.abort(new CancelledError('answer of another request'));
				return;
			}

			load = reading.load;
			const head = {status, headers: answerHeaders(headers)};
			if (reading.isWrongTarget || reading.isNotRun) {
				body = createDiscard(reading.isWrongTarget ? SendEnd.WrongTarget : SendEnd.Refused, `status ${status}`);
			} else if (order.isStreamed && status < 300) {
				body = createStreamRelay({
					exchange, head, format, started, delivered,
				});
			} else {
				started();
				body = createWholeRelay({exchange, head, delivered});
			}
		},
		data(controller, chunk) {
			if (isCurrent()) {
				body?.data(controller, chunk);
			}
		},
		end() {
			if (isCurrent() && body) {
				const {end, detail} = body.end();
				finish(end, detail);
			}
		},
		fail: finish,
	};
}

/** Answer of a target that did not run the request. */
function createDiscard(end: SendEnd, detail: string): BodyRelay {
	return {
		data() {
			// Only the status counts.
		},
		end: () => ({end, detail}),
	};
}

type Head = {status: number; headers: Record<string, string | string[]>};

/** Passes bytes to the caller; the target waits while the caller doesn't read. */
function write({response}: CallExchange, controller: DispatchController, bytes: Buffer) {
	if (!response.write(bytes)) {
		controller.pause();
		response.once('drain', () => {
			controller.resume();
		});
	}
}

function createStreamRelay({
	exchange, head, format, started, delivered,
}: {exchange: CallExchange; head: Head; format: CallFormat; started: () => void; delivered: () => void}): BodyRelay {
	const events = createEventBuffer();

	function writeHead() {
		if (!exchange.response.headersSent) {
			exchange.response.writeHead(head.status, head.headers);
			delivered();
		}
	}

	return {
		data(controller, chunk) {
			const whole = events.push(chunk);
			if (whole.length === 0) {
				return;
			}

			started();
			writeHead();
			for (const event of whole) {
				exchange.lastEventId = format.eventId(event) ?? exchange.lastEventId;
			}

			write(exchange, controller, whole.length === 1 ? whole[0]! : Buffer.concat(whole));
		},
		end() {
			if (events.isPartial) {
				return {end: SendEnd.Broken, detail: 'stream ended within an event'};
			}

			started();
			writeHead();
			exchange.isFinished = true;
			exchange.response.end();
			return {end: SendEnd.Complete, detail: ''};
		},
	};
}

function createWholeRelay({exchange, head, delivered}: {exchange: CallExchange; head: Head; delivered: () => void}): BodyRelay {
	const chunks: Buffer[] = [];
	let size = 0;
	let isPassing = false;

	function pass(controller: DispatchController) {
		isPassing = true;
		exchange.response.writeHead(head.status, head.headers);
		delivered();
		write(exchange, controller, Buffer.concat(chunks));
	}

	return {
		data(controller, chunk) {
			if (isPassing) {
				write(exchange, controller, chunk);
				return;
			}

			chunks.push(chunk);
			size += chunk.length;
			if (size > heldAnswerBytes) {
				pass(controller);
			}
		},
		end() {
			if (isPassing) {
				exchange.isFinished = true;
				exchange.response.end();
				return {end: SendEnd.Complete, detail: ''};
			}

			if (promiseStatuses.has(head.status)) {
				return {end: SendEnd.Broken, detail: `status ${head.status} of a target that may have run it`};
			}

			if (exchange.response.headersSent) {
				return {end: SendEnd.Broken, detail: `status ${head.status} in place of the rest of a stream`};
			}

			const answer = {...head, body: Buffer.concat(chunks)};
			if (head.status >= firstErrorStatus) {
				exchange.failure = answer;
				return {end: SendEnd.Failed, detail: `status ${head.status}`};
			}

			deliver(exchange, answer);
			return {end: SendEnd.Complete, detail: ''};
		},
	};
}
