/*
Settings and faults of the model engine stand-in.
*/
import type {TargetFaults} from './target-faults.ts';

export type EngineSettings = typeof engineDefaults;

export const engineDefaults = {
	host: '127.0.0.1',
	port: 0,
	id: 'engine',
	seed: 1,
	/** Requests that a warm engine carries at full speed. */
	warmCapacity: 32,
	/** Requests that a cold engine carries without falling over. */
	coldCapacity: 4,
	/** Service time after which a cold engine is warm; 0 leaves it to the completions. */
	coldSeconds: 0,
	/** Completed requests after which a cold engine is warm; 0 leaves it to the service time. */
	coldCompletions: 8,
	/** Whether the engine starts warm. */
	warm: false,
	firstTokenMs: 40,
	/** Prompt part of the first token, a prompt token. */
	promptTokenMs: 0.05,
	/** Share of the prompt part that a prefix hit saves. */
	prefixSaving: 0.8,
	/** Prefixes that fit the cache. */
	prefixCacheSize: 64,
	betweenTokensMs: 20,
	/** Growth of the time between tokens up to full load. */
	slope: 0.5,
	/** Tokens of an answer when the request doesn't fix them: drawn between these by request. */
	leastOutputTokens: 20,
	mostOutputTokens: 200,
	tickMs: 10,
	loadLagMs: 500,
	cacheEventLagMs: 1000,
	/** Fraction of cache events that are never published. */
	cacheEventGap: 0.05,
	/** Time that a stream without a caller goes on before it is cancelled. */
	orphanMs: 2000,
	/** Time that a stream can be resumed after a disconnect. */
	keepMs: 30_000,
	/** Whether an order with an older epoch is refused. */
	fences: true,
};

export type EngineFaults = TargetFaults & {
	/** Number of next answers whose chunks are sent twice. */
	duplicateAnswers: number;
	/** Token offset at which the next `cutStreams` streams break. */
	cutStreamAt: number;
	/** Streams that `cutStreamAt` breaks; 1 when not set. */
	cutStreams: number;
	/** Number of next answers that end cleanly without a finish reason. */
	truncate: number;
};
