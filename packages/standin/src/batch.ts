/*
Continuous batching of a model engine without I/O: streams are admitted as they come, every tick moves those whose next
token is due, and load above the warm capacity slows all of them. A cold engine that is given more than it can carry
falls over: it restarts cold and loses its streams.
*/
import type {EngineSettings} from './engine-settings.ts';
import {createPrefixCache, type PrefixCache} from './prefix-cache.ts';

/** One request in the batch. `nextTokenAt` is in milliseconds. */
export type BatchStream = {
	id: string;
	outputTokens: number;
	promptTokens: number;
	emitted: number;
	nextTokenAt: number;
};

export type BatchOptions = {
	settings: EngineSettings;
	startId: string;
	slowFactor: () => number;
	/** Tokens from the old `emitted` up to the new one came. */
	onTokens: (stream: BatchStream) => void;
	/** The engine restarted and lost all streams. */
	onRestart: () => void;
};

export type Batch = {
	readonly running: number;
	readonly cold: boolean;
	readonly startId: string;
	readonly coldOverruns: number;
	readonly prefixes: PrefixCache;
	/** Undefined when the engine fell over because of this request. */
	admit(request: BatchRequest, now: number): BatchStream | undefined;
	cancel(id: string): boolean;
	tick(now: number): void;
	restart(): void;
};

export type BatchRequest = {id: string; outputTokens: number; promptTokens: number; prefix: string};

/** Creates an empty batch. */
export function createBatch({settings, startId, slowFactor, onTokens, onRestart}: BatchOptions): Batch {
	const streams = new Map<string, BatchStream>();
	const prefixes = createPrefixCache(settings.prefixCacheSize);
	let restarts = 0;
	let coldOverruns = 0;
	let completions = 0;
	let servedMs = 0;
	let lastTickAt: number | undefined;
	let cold = !settings.warm;

	function betweenTokensMs(): number {
		const load = streams.size / settings.warmCapacity;
		// Over capacity the engine shares its rate among all streams.
		const overload = Math.max(1, load);
		return settings.betweenTokensMs * (1 + (settings.slope * Math.min(1, load))) * overload * slowFactor();
	}

	function firstTokenMs({promptTokens, prefix}: BatchRequest): number {
		const saving = prefixes.use(prefix) ? settings.prefixSaving : 0;
		const promptMs = promptTokens * settings.promptTokenMs * (1 - saving);
		return (settings.firstTokenMs + promptMs) * slowFactor();
	}

	function warmUp() {
		const byTime = settings.coldSeconds > 0 && servedMs >= settings.coldSeconds * 1000;
		const byCompletions = settings.coldCompletions > 0 && completions >= settings.coldCompletions;
		if (byTime || byCompletions) {
			cold = false;
		}
	}

	function advance(stream: BatchStream, now: number, betweenMs: number) {
		const before = stream.emitted;
		while (stream.emitted < stream.outputTokens && stream.nextTokenAt <= now) {
			stream.emitted++;
			stream.nextTokenAt += betweenMs;
		}

		if (stream.emitted === stream.outputTokens) {
			streams.delete(stream.id);
			completions++;
		}

		if (stream.emitted > before) {
			onTokens(stream);
		}
	}

	function restart() {
		restarts++;
		streams.clear();
		prefixes.clear();
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
		prefixes,
		admit(request, now) {
			if (cold && streams.size >= settings.coldCapacity) {
				coldOverruns++;
				restart();
				return undefined;
			}

			const {id, outputTokens, promptTokens} = request;
			const stream = {
				id, outputTokens, promptTokens, emitted: 0, nextTokenAt: now + firstTokenMs(request),
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
			const betweenMs = betweenTokensMs();
			for (const stream of streams.values()) {
				advance(stream, now, betweenMs);
			}

			if (cold) {
				warmUp();
			}
		},
		restart,
	};
}
