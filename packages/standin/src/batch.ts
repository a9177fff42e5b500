/*
Continuous batching of a model engine, without I/O: requests join the batch on arrival, every tick emits the tokens that
are due, and load above the warm capacity slows all streams down. A cold engine crashes when it gets more requests than
its cold capacity: it restarts cold and loses its streams.
*/
import type {EngineSettings} from './engine-settings.ts';
import {createPrefixCache, type PrefixCache} from './prefix-cache.ts';

/** One request in the batch. `nextTokenAt` is in milliseconds. */
export type BatchStream = {
	id: string;
	outputTokens: number;
	promptTokens: number;
	/** Number of tokens emitted so far. */
	emitted: number;
	nextTokenAt: number;
};

export type BatchOptions = {
	settings: EngineSettings;
	startId: string;
	slowFactor: () => number;
	/** Called when the `emitted` of a stream has grown, with its new value. */
	onTokens: (stream: BatchStream) => void;
	/** Called when the engine has restarted and lost all streams. */
	onRestart: () => void;
};

export type Batch = {
	readonly running: number;
	readonly cold: boolean;
	readonly startId: string;
	readonly coldOverruns: number;
	readonly prefixCache: PrefixCache;
	/** Undefined when the request exceeded the cold capacity and made the engine crash. */
	admit(request: BatchRequest, now: number): BatchStream | undefined;
	cancel(id: string): boolean;
	tick(now: number): void;
	restart(): void;
};

export type BatchRequest = {id: string; outputTokens: number; promptTokens: number; prefix: string};

/** Creates an empty batch. */
export function createBatch({settings, startId, slowFactor, onTokens, onRestart}: BatchOptions): Batch {
	const streams = new Map<string, BatchStream>();
	const prefixCache = createPrefixCache(settings.prefixCacheSize);
	let restarts = 0;
	let coldOverruns = 0;
	let completions = 0;
	let servedMs = 0;
	let lastTickAt: number | undefined;
	let cold = !settings.warm;

	function computeTokenIntervalMs(): number {
		const load = streams.size / settings.warmCapacity;
		// Above its capacity the engine shares a constant token rate among all streams.
		const overload = Math.max(1, load);
		return settings.betweenTokensMs * (1 + (settings.slope * Math.min(1, load))) * overload * slowFactor();
	}

	function computeFirstTokenMs({promptTokens, prefix}: BatchRequest): number {
		const saving = prefixCache.lookUpOrInsert(prefix) ? settings.prefixSaving : 0;
		const prefillMs = promptTokens * settings.promptTokenMs * (1 - saving);
		return (settings.firstTokenMs + prefillMs) * slowFactor();
	}

	function warmUpIfDue() {
		const byTime = settings.coldSeconds > 0 && servedMs >= settings.coldSeconds * 1000;
		const byCompletions = settings.coldCompletions > 0 && completions >= settings.coldCompletions;
		if (byTime || byCompletions) {
			cold = false;
		}
	}

	function emitDueTokens(stream: BatchStream, now: number, intervalMs: number) {
		const emittedBefore = stream.emitted;
		while (stream.emitted < stream.outputTokens && stream.nextTokenAt <= now) {
			stream.emitted++;
			stream.nextTokenAt += intervalMs;
		}

		if (stream.emitted === stream.outputTokens) {
			streams.delete(stream.id);
			completions++;
		}

		if (stream.emitted > emittedBefore) {
			onTokens(stream);
		}
	}

	function restart() {
		restarts++;
		streams.clear();
		prefixCache.clear();
		cold = true;
		completions = 0;
		servedMs = 0;
		onRestart();
	}

	return {
		get running() {
			return streams.size;
		},
		get cold() {
			return cold;
		},
		get startId() {
			return `${startId}.${restarts}`;
		},
		get coldOverruns() {
			return coldOverruns;
		},
		prefixCache,
		admit(request, now) {
			if (cold && streams.size >= settings.coldCapacity) {
				coldOverruns++;
				restart();
				return undefined;
			}

			const {id, outputTokens, promptTokens} = request;
			const stream = {
				id, outputTokens, promptTokens, emitted: 0, nextTokenAt: now + computeFirstTokenMs(request),
			};
			streams.set(id, stream);
			return stream;
		},
		cancel: id => streams.delete(id),
		tick(now) {
			if (cold && streams.size > 0 && lastTickAt !== undefined) {
				servedMs += now - lastTickAt;
			}

			lastTickAt = now;
			const intervalMs = computeTokenIntervalMs();
			for (const stream of streams.values()) {
				emitDueTokens(stream, now, intervalMs);
			}

			if (cold) {
				warmUpIfDue();
			}
		},
		restart,
	};
}
