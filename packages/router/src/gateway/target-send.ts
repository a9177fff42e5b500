/*
Sends a call to a target and relays the answer to the caller. A stream is relayed event by event as it arrives; any other
answer is buffered until it is complete, so that the call can be sent again when the answer breaks.
*/
import {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {Dispatcher} from 'undici';
import {SendEnd, type GatewayInbound, type GatewayOutboundOf} from '@shallotloom/core/gateway/ports.ts';
import type {LoadReport} from '@shallotloom/core/gateway/rows.ts';
import {createByteBuffer} from '../byte-buffer.ts';
import {BufferedPart} from './buffered-bytes.ts';
import {sendBufferedAnswer, type CallExchange, type StreamHead} from './call-exchange.ts';
import {AnsweredRequest, type CallFormat, type ParsedAnswerHead} from './call-format.ts';
import {filterAnswerHeaders} from './hop-by-hop-headers.ts';
import {createEventBuffer} from './event-buffer.ts';
import type {ConnectionPools} from './connection-pools.ts';

export type DispatchController = Dispatcher.DispatchController;

export type TargetSendOptions = {
	connectionPools: ConnectionPools;
	format: CallFormat;
	/** Passes a message to the core, which runs a step immediately. */
	push: (inbound: GatewayInbound) => void;
	/** Called with the name of each header of an answer whose value is malformed. */
	onMalformedHeader: (target: string, header: string) => void;
	/** Called with an exception of this module, after which the answer counts as broken. */
	onInternalError: (error: unknown) => void;
	/** Whether a process of a target is known to have a rate limit, so that an answer without one ends it. */
	isRateLimited: (target: string, startId: string) => boolean;
};

type SendCommand = GatewayOutboundOf<'send'>;

/** Codes of errors that occur when this process, not the target, has no means for a connection. */
const noResourceCodes = new Set(['EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']);

/** Codes with which undici refuses any request because the connections of its target have been closed. */
const closedPoolCodes = new Set(['UND_ERR_CLOSED', 'UND_ERR_DESTROYED']);

/** Returns how a send ended of which no byte was written. `isRefused`: whether undici refused the request itself. */
function classifyUnsent(code: string, isRefused: boolean): SendEnd {
	if (isRefused && !closedPoolCodes.has(code)) {
		return SendEnd.Unsendable;
	}

	return noResourceCodes.has(code) ? SendEnd.NoResource : SendEnd.NotSent;
}

/** Statuses that tell callers that a request has not run; they must not be relayed from a target that may have run it. */
const notRunStatuses = new Set([408, 421, 429, 503]);

const minServerErrorStatus = 500;

/** Answers up to this size are buffered until they are complete, in bytes; larger ones are relayed as they arrive. */
const maxBufferedAnswerBytes = 1024 * 1024;

/** Longest event of a stream, in bytes. */
const maxEventBytes = 1024 * 1024;

/** Bytes of the body of an answer that isn't relayed that are read so that its connection can be used again. */
const maxDiscardedBytes = 64 * 1024;

/** Longest answer without a content length, in bytes: one with a length ends by itself. */
const maxUnsizedAnswerBytes = 64 * 1024 * 1024;

/** Reason for a cancelled send; undici passes it back as the error of the request. */
class CancelledError extends Error {
	override name = 'CancelledError';
}

/** Cancels the call at its target by closing the connection; what still arrives from it is discarded. */
export function cancelSend(exchange: CallExchange) {
	exchange.currentSend = 0;
	exchange.controller?.abort(new CancelledError('send cancelled'));
	exchange.controller = undefined;
}

/** Sends a call to a target and relays its answer. */
export function sendToTarget(exchange: CallExchange, command: SendCommand, options: TargetSendOptions) {
	const {connectionPools, format} = options;
	exchange.currentSend = command.send;
	exchange.failedAnswer = undefined;
	exchange.releaseEvents = undefined;
	exchange.hold.set(BufferedPart.Answer, 0);
	const headers = format.createTargetHeaders(exchange.headers, {
		target: command.target,
		workspace: command.workspace,
		hasKeys: command.hasKeys,
		remainingMs: command.remainingMs,
		lastEventId: command.isResumed ? exchange.lastEventId : undefined,
	});
	const answer = createAnswerHandler(exchange, command, options);
	let wasSent = false;

	/** Reports an exception before undici turns it into an error of the answer. */
	function reportThrown(run: () => void) {
		try {
			run();
		} catch (error) {
			options.onInternalError(error);
			throw error;
		}
	}

	// undici checks a request before it looks for a connection.
	let isChecking = true;

	connectionPools.getOrCreatePool(command.address).dispatch({
		path: exchange.url,
		method: exchange.method,
		headers,
		body: exchange.body ?? null,
	}, {
		onRequestStart(controller) {
			if (exchange.currentSend !== command.send) {
				controller.abort(new CancelledError('send cancelled before the request was written'));
				return;
			}

			wasSent = true;
			exchange.controller = controller;
		},
		onResponseStart(controller, status, responseHeaders) {
			if (status >= 200) {
				connectionPools.recordProgress();
				reportThrown(() => {
					answer.onHead(controller, status, responseHeaders, connectionPools.countAnswer() > 1);
				});
			}
		},
		onResponseData(controller, chunk) {
			connectionPools.recordProgress();
			reportThrown(() => {
				answer.onData(controller, chunk);
			});
		},
		onResponseEnd() {
			connectionPools.recordProgress();
			if (connectionPools.isEndedByReset()) {
				answer.onError(SendEnd.Broken, 'connection reset at the end of the answer');
				return;
			}

			reportThrown(answer.onEnd);
		},
		onResponseError(_controller, error) {
			const {code} = error as {code?: string};
			answer.onError(wasSent ? SendEnd.Broken : classifyUnsent(code ?? '', isChecking), isChecking ? error.message : (code ?? error.message));
		},
	});
	isChecking = false;
}

/** Why an answer isn't taken for that of the request; undefined when it is. */
const mismatchHandlers: Record<AnsweredRequest, (isConnectionReused: boolean) => string | undefined> = {
	[AnsweredRequest.Sent]: () => undefined,
	[AnsweredRequest.Other]: () => 'answer of another request',
	// A target may write an earlier refusal once more while it runs the request.
	[AnsweredRequest.Unnamed]: isConnectionReused => isConnectionReused ? 'refusal without a request id on a connection that carried another answer' : undefined,
};

/** Media type of an answer, without parameters; '' when it names none. */
function getMediaType(headers: IncomingHttpHeaders): string {
	return (headers['content-type'] ?? '').split(';', 1)[0]!.trim().toLowerCase();
}

/** Whether the head of an answer can be that of the rest of a stream. */
function isRestOf({status, mediaType}: StreamHead, restStatus: number, headers: IncomingHttpHeaders): boolean {
	return restStatus === status && getMediaType(headers) === mediaType;
}

/** Handles the answer to one send. */
type AnswerHandler = {
	/** `isConnectionReused`: whether the connection has carried another answer before. */
	onHead(controller: DispatchController, status: number, headers: IncomingHttpHeaders, isConnectionReused: boolean): void;
	onData(controller: DispatchController, chunk: Buffer): void;
	onEnd(): void;
	onError(end: SendEnd, detail: string): void;
};

/** How a send ended, and why, for the log. */
type RelayEnd = {end: SendEnd; detail: string};

/** Relays the body of an answer to the caller. */
type BodyRelay = {
	/** Returns how the send ended when the rest of the body is of no use; undefined while it goes on. */
	onData(controller: DispatchController, chunk: Buffer): RelayEnd | undefined;
	/** Returns how the send ended; undefined when the relay reports that itself, once it has delivered the rest. */
	onEnd(): RelayEnd | undefined;
};

function createAnswerHandler(exchange: CallExchange, command: SendCommand, {format, push, onMalformedHeader, isRateLimited}: TargetSendOptions): AnswerHandler {
	const {
		call, send, target, startId,
	} = command;
	let load: LoadReport | undefined;
	let body: BodyRelay | undefined;
	let hasEnded = false;
	let hasStarted = false;

	function isCurrent(): boolean {
		return !hasEnded && exchange.currentSend === send;
	}

	function reportEnd(end: SendEnd, detail: string) {
		if (isCurrent()) {
			hasEnded = true;
			exchange.controller = undefined;
			push({
				kind: 'sendEnded', call, send, end, load, detail,
			});
		}
	}

	function reportStarted() {
		if (!hasStarted) {
			hasStarted = true;
			push({
				kind: 'answerStarted', call, send, load,
			});
		}
	}

	function reportDelivered() {
		push({kind: 'answerDelivered', call});
	}

	/** Reports what the target says of itself; an answer of another target at its address says nothing of it. */
	function reportNotices({isWrongTarget, isNotRun, isLeaving, pauseMs, requestsPerSecond, malformedHeaders}: ParsedAnswerHead) {
		if (isWrongTarget) {
			return;
		}

		if (isLeaving) {
			push({kind: 'targetLeaving', target, startId});
		}

		if (pauseMs !== undefined) {
			push({
				kind: 'targetPause', target, startId, pauseMs,
			});
		}

		// A limit ends only with an answer to a request that ran: a refusal may be sent before the target knows its limit.
		if (requestsPerSecond !== undefined || (!isNotRun && isRateLimited(target, startId))) {
			push({
				kind: 'targetRateLimit', call, target, startId, requestsPerSecond,
			});
		}

		for (const header of malformedHeaders) {
			onMalformedHeader(target, header);
		}
	}

	return {
		onHead(controller, status, headers, isConnectionReused) {
			if (!isCurrent()) {
				return;
			}

			const parsed = format.parseAnswerHead(status, headers, exchange.requestId);
			const mismatch = mismatchHandlers[parsed.answeredRequest](isConnectionReused);
			if (mismatch !== undefined) {
				reportEnd(SendEnd.Broken, mismatch);
				controller.abort(new CancelledError(mismatch));
				return;
			}

			reportNotices(parsed);
			load = parsed.load;
			if (exchange.streamHead && !parsed.isWrongTarget && !parsed.isNotRun && !isRestOf(exchange.streamHead, status, headers)) {
				const detail = `status ${status}, ${getMediaType(headers) || 'no content type'}, in place of the rest of a stream`;
				reportEnd(SendEnd.Broken, detail);
				controller.abort(new CancelledError(detail));
				return;
			}

			const head = {status, headers: filterAnswerHeaders(headers)};
			if (parsed.isWrongTarget || parsed.isNotRun) {
				body = createDiscardingRelay(parsed.isWrongTarget ? SendEnd.WrongTarget : SendEnd.Refused, `status ${status}`);
			} else if (notRunStatuses.has(status)) {
				reportStarted();
				body = createDiscardingRelay(SendEnd.Broken, `status ${status} of a target that may have run it`);
			} else if (command.isStreamed && status < 300) {
				body = createStreamRelay({
					exchange,
					head,
					mediaType: getMediaType(headers),
					format,
					isHeld: command.isHeld,
					reportStarted,
					reportDelivered,
					reportComplete() {
						reportEnd(SendEnd.Complete, '');
					},
				});
			} else {
				reportStarted();
				body = createBufferedRelay({
					exchange, head, hasLength: headers['content-length'] !== undefined, reportDelivered,
				});
			}
		},
		onData(controller, chunk) {
			const early = isCurrent() ? body?.onData(controller, chunk) : undefined;
			if (early) {
				reportEnd(early.end, early.detail);
				controller.abort(new CancelledError(early.detail));
			}
		},
		onEnd() {
			if (isCurrent() && body) {
				const bodyEnd = body.onEnd();
				if (bodyEnd) {
					reportEnd(bodyEnd.end, bodyEnd.detail);
				}
			}
		},
		onError: reportEnd,
	};
}

/** Discards the body of an answer that isn't relayed: only the status counts. */
function createDiscardingRelay(end: SendEnd, detail: string): BodyRelay {
	let size = 0;
	return {
		onData(_controller, chunk) {
			size += chunk.length;
			return size > maxDiscardedBytes ? {end, detail} : undefined;
		},
		onEnd: () => ({end, detail}),
	};
}

type AnswerHead = {status: number; headers: Record<string, string | string[]>};

/** Writes bytes to the caller; reading from the target is paused while the caller's connection is congested. */
function writeWithBackpressure({response, hold}: CallExchange, controller: DispatchController, bytes: Buffer) {
	if (!response.write(bytes)) {
		hold.set(BufferedPart.Unsent, response.writableLength);
		controller.pause();
		response.once('drain', () => {
			hold.set(BufferedPart.Unsent, 0);
			controller.resume();
		});
	}
}

type StreamRelayOptions = {
	exchange: CallExchange;
	head: AnswerHead;
	mediaType: string;
	format: CallFormat;
	/** Whether events are held back until the core releases them. */
	isHeld: boolean;
	reportStarted: () => void;
	reportDelivered: () => void;
	/** Called when a stream that ended while its events were held back has been delivered. */
	reportComplete: () => void;
};

function createStreamRelay({
	exchange, head, mediaType, format, isHeld, reportStarted, reportDelivered, reportComplete,
}: StreamRelayOptions): BodyRelay {
	const events = createEventBuffer();
	/** Whether the next event is the first one of the rest of a stream that another target began. */
	let isRest = exchange.streamHead !== undefined;
	/** Complete events that are held back; undefined once they aren't any more. */
	let held: Buffer[] | undefined = isHeld ? [] : undefined;
	let hasEnded = false;
	let heldBytes = 0;

	function accountEvents() {
		exchange.hold.set(BufferedPart.Answer, events.partialEventBytes + heldBytes);
	}

	function writeHead() {
		if (!exchange.response.headersSent) {
			exchange.response.writeHead(head.status, head.headers);
			exchange.streamHead = {status: head.status, mediaType};
			reportDelivered();
		}
	}

	/** Whether an event doesn't come after the last one that the caller has received; ids that are no whole numbers have no order. */
	function isRepeated(event: Buffer): boolean {
		const [id, lastId] = [format.parseEventId(event), exchange.lastEventId].map(text => text === undefined || text === '' ? Number.NaN : Number(text));
		return Number.isSafeInteger(id) && Number.isSafeInteger(lastId) && id! <= lastId!;
	}

	function deliver(controller: DispatchController, complete: Buffer[]) {
		const lastEventId = complete.map(event => format.parseEventId(event)).findLast(id => id !== undefined);
		writeHead();
		exchange.lastEventId = lastEventId ?? exchange.lastEventId;
		writeWithBackpressure(exchange, controller, complete.length === 1 ? complete[0]! : Buffer.concat(complete));
	}

	function finish() {
		writeHead();
		exchange.isFinished = true;
		exchange.response.end();
	}

	/** Lets the core release the events, which it does after the first one. */
	function awaitRelease(controller: DispatchController) {
		exchange.releaseEvents ??= () => {
			exchange.releaseEvents = undefined;
			const complete = held ?? [];
			held = undefined;
			heldBytes = 0;
			accountEvents();
			deliver(controller, complete);
			if (hasEnded) {
				finish();
				reportComplete();
			}
		};
	}

	return {
		onData(controller, chunk) {
			const complete = events.push(chunk);
			accountEvents();
			if (events.partialEventBytes > maxEventBytes) {
				return {end: SendEnd.Broken, detail: `event without end after ${events.partialEventBytes} bytes`};
			}

			if (complete.length === 0) {
				return undefined;
			}

			if (isRest && isRepeated(complete[0]!)) {
				return {end: SendEnd.Broken, detail: `event after ${exchange.lastEventId} comes twice in the rest of a stream`};
			}

			isRest = false;
			if (held) {
				held.push(...complete);
				heldBytes += complete.reduce((sum, {length}) => sum + length, 0);
				accountEvents();
				awaitRelease(controller);
			}

			reportStarted();
			if (!held) {
				deliver(controller, complete);
			}

			return undefined;
		},
		onEnd() {
			if (events.hasPartialEvent) {
				return {end: SendEnd.Broken, detail: 'stream ended within an event'};
			}

			if (held && held.length > 0) {
				hasEnded = true;
				return undefined;
			}

			reportStarted();
			finish();
			return {end: SendEnd.Complete, detail: ''};
		},
	};
}

function createBufferedRelay({exchange, head, hasLength, reportDelivered}: {exchange: CallExchange; head: AnswerHead; hasLength: boolean; reportDelivered: () => void}): BodyRelay {
	const buffered = createByteBuffer();
	let size = 0;
	/** Whether the answer exceeded the buffer and is relayed as it arrives. */
	let isPassthrough = false;
	/** Whether it may be relayed before it is complete: a failure may be followed by another send. */
	const mayPassEarly = head.status < minServerErrorStatus && !exchange.response.headersSent;

	function startPassthrough(controller: DispatchController) {
		isPassthrough = true;
		exchange.response.writeHead(head.status, head.headers);
		reportDelivered();
		exchange.hold.set(BufferedPart.Answer, 0);
		writeWithBackpressure(exchange, controller, buffered.take());
	}

	return {
		onData(controller, chunk) {
			size += chunk.length;
			if (!hasLength && size > maxUnsizedAnswerBytes) {
				return {end: SendEnd.Broken, detail: `answer without end after ${size} bytes`};
			}

			if (isPassthrough) {
				writeWithBackpressure(exchange, controller, chunk);
				return undefined;
			}

			buffered.append(chunk);
			exchange.hold.set(BufferedPart.Answer, buffered.length);
			if (size > maxBufferedAnswerBytes || (mayPassEarly && !exchange.hold.fitsAnswer())) {
				startPassthrough(controller);
			}

			return undefined;
		},
		onEnd() {
			if (isPassthrough) {
				exchange.isFinished = true;
				exchange.response.end();
				return {end: SendEnd.Complete, detail: ''};
			}

			if (exchange.response.headersSent) {
				return {end: SendEnd.Broken, detail: `status ${head.status} in place of the rest of a stream`};
			}

			const answer = {...head, body: buffered.take()};
			if (head.status >= minServerErrorStatus) {
				exchange.failedAnswer = answer;
				return {end: SendEnd.Failed, detail: `status ${head.status}`};
			}

			sendBufferedAnswer(exchange, answer);
			return {end: SendEnd.Complete, detail: ''};
		},
	};
}
