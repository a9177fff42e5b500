/*
Simulation of a model engine. It admits requests in order of arrival up to its number of slots, interleaves chunked prefill with
token generation, and caches prefilled prompt segments for as long as running requests don't need the memory.
*/
import type {PromptSegment} from '@shallotloom/core/gateway/rows.ts';
import type {EventQueue} from './event-queue.ts';

export type EngineOptions = {
	/** Maximum number of requests that are prefilled or generate at once. */
	slots: number;
	/** Base duration of a step, and the time that each generating request adds to it, in milliseconds. */
	stepMs: number;
	stepMsPerRequest: number;
	/** Time that each thousand tokens of generating requests in the KV cache add to a step, in milliseconds. */
	stepMsPerThousandTokens: number;
	prefillTokensPerMs: number;
	/** Attention cost of prefill: time for a million pairs of a prefilled token and one before it, in milliseconds. */
	attentionMsPerMillionPairs: number;
	/** Maximum number of prompt tokens that one step prefills. */
	prefillChunkTokens: number;
	/** Time from a request's arrival until it can be admitted, in milliseconds. */
	admissionDelayMs: number;
	/** Capacity of the KV cache for admitted requests and cached prompt segments, in tokens. */
	kvCacheTokens: number;
};

/** Tokens in one event of an answer's stream. */
export const tokensPerEvent = 7;

export const defaultEngineOptions: EngineOptions = {
	slots: 64, stepMs: 3.1, stepMsPerRequest: 0.1, stepMsPerThousandTokens: 0.002,
	prefillTokensPerMs: 57, attentionMsPerMillionPairs: 0.16, prefillChunkTokens: 2048, admissionDelayMs: 13, kvCacheTokens: 470_000,
};

export type EngineRequest = {
	id: string;
	segments: PromptSegment[];
	outputTokens: number;
	onFirstToken: () => void;
	/** Called after the last token, with the longest time between two events of the answer, in milliseconds. */
	onEnd: (longestGapMs: number) => void;
};

export type Engine = {
	/** Number of requests that generate (`running`), and of those that wait or are being prefilled (`waiting`). */
	getLoad(): {running: number; waiting: number; slots: number};
	add(request: EngineRequest): void;
	cancel(id: string): void;
	/** Stops the engine for good; returns the ids of the requests that it had. */
	crash(): string[];
};

export type EngineContext = {
	queue: EventQueue;
	options: EngineOptions;
	/** Called at the start of a prompt's prefill for each segment to prefill, except for the prompt's last segment. */
	onPrefill: (segment: PromptSegment) => void;
};

type Sequence = {
	request: EngineRequest;
	/** Prompt tokens that are still to be prefilled; undefined until the prefill starts. */
	tokensToPrefill: number | undefined;
	promptTokens: number;
	generatedTokens: number;
	lastEventAt: number;
	longestGapMs: number;
};

/** Creates an engine without requests and with an empty cache. */
export function createEngine({queue, options, onPrefill}: EngineContext): Engine {
	/** Requests that have arrived and can't be admitted yet. */
	const arriving = new Set<Sequence>();
	const waiting: Sequence[] = [];
	/** Admitted sequences whose prompts are being prefilled, in order of arrival. */
	let prefilling: Sequence[] = [];
	let running: Sequence[] = [];
	/** Number of tokens by segment id, least recently used first. */
	const cachedSegments = new Map<string, number>();
	let cachedTokens = 0;
	let isStepping = false;

	function countTokens(sequences: Sequence[]): number {
		return sequences.reduce((sum, {promptTokens, generatedTokens}) => sum + promptTokens + generatedTokens, 0);
	}

	function cacheSegment({id, tokens}: PromptSegment) {
		cachedTokens += cachedSegments.delete(id) ? 0 : tokens;
		cachedSegments.set(id, tokens);
	}

	function evictSegments() {
		const freeTokens = options.kvCacheTokens - countTokens(prefilling) - countTokens(running);
		for (const [id, tokens] of cachedSegments) {
			if (cachedTokens <= freeTokens) {
				break;
			}

			cachedSegments.delete(id);
			cachedTokens -= tokens;
		}
	}

	/** Caches the prompt's segments; returns the number of tokens to prefill: those after the cached leading segments, at least 1. */
	function startPrefill(sequence: Sequence): number {
		const {segments} = sequence.request;
		let tokensToPrefill = sequence.promptTokens;
		let isCached = true;
		for (const [index, segment] of segments.entries()) {
			isCached &&= cachedSegments.has(segment.id);
			if (isCached) {
				tokensToPrefill -= segment.tokens;
			} else if (index < segments.length - 1) {
				onPrefill(segment);
			}

			cacheSegment(segment);
		}

		return Math.max(1, tokensToPrefill);
	}

	function admit() {
		while (waiting.length > 0 && prefilling.length + running.length < options.slots) {
			prefilling.push(waiting.shift()!);
		}
	}

	/** Prefills up to one chunk of tokens; returns the time that this takes and the sequences whose prefill is finished. */
	function prefillChunk(): {prefillMs: number; finished: Sequence[]} {
		let tokensLeft = options.prefillChunkTokens;
		let pairs = 0;
		const finished: Sequence[] = [];
		for (const sequence of prefilling) {
			if (tokensLeft === 0) {
				break;
			}

			sequence.tokensToPrefill ??= startPrefill(sequence);
			const tokens = Math.min(tokensLeft, sequence.tokensToPrefill);
			pairs += tokens * (sequence.promptTokens - sequence.tokensToPrefill + (tokens / 2));
			sequence.tokensToPrefill -= tokens;
			tokensLeft -= tokens;
			if (sequence.tokensToPrefill === 0) {
				finished.push(sequence);
			}
		}

		return {prefillMs: ((options.prefillChunkTokens - tokensLeft) / options.prefillTokensPerMs) + (pairs / 1e6 * options.attentionMsPerMillionPairs), finished};
	}

	function generateToken(sequence: Sequence) {
		sequence.generatedTokens += 1;
		if (sequence.generatedTokens % tokensPerEvent === 0 || sequence.generatedTokens === sequence.request.outputTokens) {
			sequence.longestGapMs = Math.max(sequence.longestGapMs, queue.now - sequence.lastEventAt);
			sequence.lastEventAt = queue.now;
		}

		if (sequence.generatedTokens >= sequence.request.outputTokens) {
			sequence.request.onEnd(sequence.longestGapMs);
		}
	}

	function step() {
		admit();
		if (prefilling.length + running.length === 0) {
			isStepping = false;
			return;
		}

		const {prefillMs, finished} = prefillChunk();
		const batch = running;
		const durationMs = options.stepMs + (options.stepMsPerRequest * batch.length) + (options.stepMsPerThousandTokens * countTokens(batch) / 1000) + prefillMs;
		queue.schedule(durationMs, () => {
			for (const sequence of batch) {
				if (running.includes(sequence)) {
					generateToken(sequence);
				}
			}

			for (const sequence of finished.filter(sequence => prefilling.includes(sequence))) {
				sequence.lastEventAt = queue.now;
				sequence.generatedTokens = 1;
				running.push(sequence);
				sequence.request.onFirstToken();
			}

			prefilling = prefilling.filter(sequence => !finished.includes(sequence));
			running = running.filter(({generatedTokens, request}) => generatedTokens < request.outputTokens);
			evictSegments();
			step();
		});
	}

	return {
		getLoad: () => ({running: running.length, waiting: prefilling.length + waiting.length, slots: options.slots}),
		add(request) {
			const sequence: Sequence = {
				request, tokensToPrefill: undefined, promptTokens: request.segments.reduce((sum, {tokens}) => sum + tokens, 0), generatedTokens: 0, lastEventAt: 0, longestGapMs: 0,
			};
			arriving.add(sequence);
			queue.schedule(options.admissionDelayMs, () => {
				if (!arriving.delete(sequence)) {
					return;
				}

				waiting.push(sequence);
				if (!isStepping) {
					isStepping = true;
					step();
				}
			});
		},
		crash() {
			const lostIds = [...arriving, ...waiting, ...prefilling, ...running].map(({request}) => request.id);
			arriving.clear();
			waiting.length = 0;
			prefilling = [];
			running = [];
			return lostIds;
		},
		cancel(id) {
			const isOther = ({request}: Sequence) => request.id !== id;
			for (const sequence of arriving) {
				if (!isOther(sequence)) {
					arriving.delete(sequence);
				}
			}

			waiting.splice(0, waiting.length, ...waiting.filter(sequence => isOther(sequence)));
			prefilling = prefilling.filter(sequence => isOther(sequence));
			running = running.filter(sequence => isOther(sequence));
		},
	};
}
