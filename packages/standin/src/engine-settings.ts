/*
Settings and faults of the model engine stand-in.
*/
import type {TargetFaults} from './target-faults.ts';

export type EngineSettings = typeof defaultEngineSettings;

export const defaultEngineSettings = {
	host: '127.0.0.1',
	port: 0,
	id: 'engine',
	seed: 1,
	/** Concurrent requests that a warm engine serves without sharing its token rate among them. */
	warmCapacity: 32,
	/** Concurrent requests that a cold engine can serve; one more makes it crash. */
	coldCapacity: 4,
	/** Time with running requests after which a cold engine is warm, in seconds; 0 disables this criterion. */
	coldSeconds: 0,
	/** Completed requests after which a cold engine is warm; 0 disables this criterion. */
	coldCompletions: 8,
	/** Whether the engine starts warm. */
	warm: false,
	/** Time to the first token apart from the prefill of the prompt. */
	firstTokenMs: 40,
	/** Prefill time of one prompt token, added to the time to the first token. */
	promptTokenMs: 0.05,
	/** Fraction of the prefill time that a prefix cache hit saves. */
	prefixSaving: 0.8,
	/** Capacity of the prefix cache, in prefixes. */
	prefixCacheSize: 64,
	betweenTokensMs: 20,
	/** Fraction by which the time between tokens grows from an idle engine to one at its warm capacity. */
	slope: 0.5,
	/** Bounds of the output length of a request that doesn't set it; drawn from the seed and the request's messages. */
	leastOutputTokens: 20,
	mostOutputTokens: 200,
	tickMs: 10,
	loadLagMs: 500,
	cacheEventLagMs: 1000,
	/** Fraction of cache events that is left out of each answer to `/cache-events`. */
	cacheEventGap: 0.05,
	/** Time for which an unfinished stream without a caller keeps running before it is cancelled. */
	orphanMs: 2000,
	/** Time after a disconnect during which a stream can be resumed. */
	keepMs: 30_000,
	/** Whether an order with an older epoch is refused. */
	fences: true,
};

export type EngineFaults = TargetFaults & {
	/** Number of next answers whose chunks are sent twice. */
	duplicateAnswers: number;
	/** Token offset at which the connections of the next `cutStreams` streams break. */
	cutStreamAt: number;
	/** Number of streams to which `cutStreamAt` applies; 1 when not set. */
	cutStreams: number;
	/** Number of next answers that end cleanly without a finish reason. */
	truncate: number;
};
