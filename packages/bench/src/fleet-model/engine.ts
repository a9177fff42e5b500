/*
A model engine in simulated time: it admits requests in the order of arrival up to its slots, reads prompts in chunks between
the tokens that it generates, and keeps the parts of prompts that it has read while their memory isn't needed.
*/
import type {PromptSegment} from '@shallotloom/core/gateway/rows.ts';
import type {EventQueue} from './event-queue.ts';

export type EngineOptions = {
	/** Requests at once. */
	slots: number;
	/** Time of a step, and what each request that generates adds, in milliseconds. */
	stepMs: number;
	stepMsPerRequest: number;
	/** What a thousand tokens in the memory of requests that generate add to a step, in milliseconds. */
	contextMs: number;
	readTokensPerMs: number;
	/** What a million pairs of a token that is read and one before it add, in milliseconds. */
	pairMs: number;
	/** Most prompt tokens read in one step. */
	chunkTokens: number;
	/** Time from arrival until reading may begin, in milliseconds. */
	setupMs: number;
	/** Memory for running requests and kept parts, in tokens. */
	memoryTokens: number;
};

/** Tokens of one event of a stream. */
export const eventTokens = 7;

export const engineDefaults: EngineOptions = {
	slots: 64, stepMs: 3.1, stepMsPerRequest: 0.1, contextMs: 0.002, readTokensPerMs: 57, pairMs: 0.16, chunkTokens: 2048, setupMs: 13, memoryTokens: 470_000,
};

export type EngineRequest = {
	id: string;
	parts: PromptSegment[];
	outputTokens: number;
	onFirst: () => void;
	onEnd: (longestGapMs: number) => void;
};

export type Engine = {
	/** Requests that generate, and those that wait or are being read. */
	load(): {running: number; waiting: number; slots: number};
	add(request: EngineRequest): void;
	cancel(id: string): void;
	/** Stops for good; returns the requests that it had. */
	crash(): string[];
};

export type EngineContext = {
	queue: EventQueue;
	options: EngineOptions;
	/** Called for each part of a prompt but the last that is read. */
	onRead: (part: PromptSegment) => void;
};

type Stream = {
	request: EngineRequest;
	/** Tokens of the prompt that are not read yet; undefined before the reading has begun. */
	unread: number | undefined;
	promptTokens: number;
	made: number;
	lastEventAt: number;
	longestGapMs: number;
};

/** Creates an idle engine. */
export function createEngine({queue, options, onRead}: EngineContext): Engine {
	const waiting: Stream[] = [];
	/** Admitted streams whose prompts are being read, in order. */
	let reading: Stream[] = [];
	let running: Stream[] = [];
	/** Tokens by part, least recent first. */
	const kept = new Map<string, number>();
	let keptTokens = 0;
	let isStepping = false;

	function tokensOf(streams: Stream[]): number {
		return streams.reduce((sum, {promptTokens, made}) => sum + promptTokens + made, 0);
	}

	function keep({id, tokens}: PromptSegment) {
		keptTokens += kept.delete(id) ? 0 : tokens;
		kept.set(id, tokens);
	}

	function evict() {
		const room = options.memoryTokens - tokensOf(reading) - tokensOf(running);
		for (const [id, tokens] of kept) {
			if (keptTokens <= room) {
				break;
			}

			kept.delete(id);
			keptTokens -= tokens;
		}
	}

	/** Tokens of a prompt that have to be read: those after the parts that are kept from its start. */
	function beginReading(stream: Stream): number {
		const {parts} = stream.request;
		let unread = stream.promptTokens;
		let isKept = true;
		for (const [index, part] of parts.entries()) {
			isKept &&= kept.has(part.id);
			if (isKept) {
				unread -= part.tokens;
			} else if (index < parts.length - 1) {
				onRead(part);
			}

			keep(part);
		}

		return Math.max(1, unread);
	}

	function admit() {
		while (waiting.length > 0 && reading.length + running.length < options.slots) {
			reading.push(waiting.shift()!);
		}
	}

	/** Reads up to a chunk; returns the time that it takes, and the streams that were read to their end. */
	function read(): {readMs: number; done: Stream[]} {
		let left = options.chunkTokens;
		let pairs = 0;
		const done: Stream[] = [];
		for (const stream of reading) {
			if (left === 0) {
				break;
			}

			stream.unread ??= beginReading(stream);
			const part = Math.min(left, stream.unread);
			pairs += part * (stream.promptTokens - stream.unread + (part / 2));
			stream.unread -= part;
			left -= part;
			if (stream.unread === 0) {
				done.push(stream);
			}
		}

		return {readMs: ((options.chunkTokens - left) / options.readTokensPerMs) + (pairs / 1e6 * options.pairMs), done};
	}

	function advance(stream: Stream) {
		stream.made += 1;
		if (stream.made % eventTokens === 0 || stream.made === stream.request.outputTokens) {
			stream.longestGapMs = Math.max(stream.longestGapMs, queue.now - stream.lastEventAt);
			stream.lastEventAt = queue.now;
		}

		if (stream.made >= stream.request.outputTokens) {
			stream.request.onEnd(stream.longestGapMs);
		}
	}

	function step() {
		admit();
		if (reading.length + running.length === 0) {
			isStepping = false;
			return;
		}

		const {readMs, done} = read();
		const batch = running;
		const durationMs = options.stepMs + (options.stepMsPerRequest * batch.length) + (options.contextMs * tokensOf(batch) / 1000) + readMs;
		queue.after(durationMs, () => {
			for (const stream of batch) {
				if (running.includes(stream)) {
					advance(stream);
				}
			}

			for (const stream of done.filter(one => reading.includes(one))) {
				stream.lastEventAt = queue.now;
				stream.made = 1;
				running.push(stream);
				stream.request.onFirst();
			}

			reading = reading.filter(stream => !done.includes(stream));
			running = running.filter(({made, request}) => made < request.outputTokens);
			evict();
			step();
		});
	}

	return {
		load: () => ({running: running.length, waiting: reading.length + waiting.length, slots: options.slots}),
		add(request) {
			const stream: Stream = {
				request, unread: undefined, promptTokens: request.parts.reduce((sum, {tokens}) => sum + tokens, 0), made: 0, lastEventAt: 0, longestGapMs: 0,
			};
			queue.after(options.setupMs, () => {
				waiting.push(stream);
				if (!isStepping) {
					isStepping = true;
					step();
				}
			});
		},
		crash() {
			const lost = [...waiting, ...reading, ...running].map(({request}) => request.id);
			waiting.length = 0;
			reading = [];
			running = [];
			return lost;
		},
		cancel(id) {
			const isOther = ({request}: Stream) => request.id !== id;
			waiting.splice(0, waiting.length, ...waiting.filter(stream => isOther(stream)));
			reading = reading.filter(stream => isOther(stream));
			running = running.filter(stream => isOther(stream));
		},
	};
}
