/*
The load driver: sends each request of a schedule when it is due, whatever became of the earlier ones, and records what
came back and when. One process drives the whole load over keep-alive connections.
*/
import {setMaxListeners} from 'node:events';
import {settledWithin, sleep} from '../deployment/http.ts';
import {enginePool, type WorkspaceShare} from '../deployment/plan.ts';
import {Total} from '../measure/goodput.ts';
import {createServiceSeries, type ServiceSeries} from '../measure/service-series.ts';
import {attempt, type AttemptResult} from './attempt.ts';
import {createCallers, type Callers} from './callers.ts';
import {Ending, type RequestRecord} from './record.ts';
import type {Arrival} from './schedule.ts';

export type LoadOptions = {
	arrivals: Arrival[];
	durationMs: number;
	workspaces: WorkspaceShare[];
	/** Chooses the router of an attempt; the arrival's own entry by default. */
	entryOf?: (arrival: Arrival, attempts: number) => string;
	/** How often a request that was not run is sent again after its Retry-After. */
	retries?: number;
	/** How long to wait for open answers after the last arrival. */
	drainMs?: number;
};

/** A retry waits at least this long. */
const leastRetryMs = 50;

export type LoadResult = {
	records: RequestRecord[];
	/** Weighted tokens received by each workspace: input at the first byte, output as it comes. */
	series: ServiceSeries;
	/** First bytes and tokens of the whole load, by `Total`. */
	totals: ServiceSeries;
	/** Start of the load, in milliseconds since the epoch. */
	startedAt: number;
};

export type RunningLoad = {
	/** Records so far, changing as answers come. */
	records: RequestRecord[];
	startedAt: number;
	/** Milliseconds since the load started. */
	elapsedMs: () => number;
	finished: Promise<LoadResult>;
};

/** Starts the load and returns at once. */
export function startLoad(options: LoadOptions): RunningLoad {
	const {arrivals, durationMs, workspaces} = options;
	const start = performance.now();
	const startedAt = Date.now();
	const elapsedMs = () => performance.now() - start;
	const series = createServiceSeries(durationMs);
	const totals = createServiceSeries(durationMs);
	const records: RequestRecord[] = [];
	const shares = new Map(workspaces.map(workspace => [workspace.id, workspace]));
	const callers = createCallers(workspaces);
	const end = new AbortController();
	// Every open request listens to the end of the load.
	setMaxListeners(0, end.signal);
	const ended = new Promise(resolve => {
		end.signal.addEventListener('abort', resolve, {once: true});
	});

	const finish = async () => {
		const open = await sendAll(arrivals, elapsedMs, async (arrival, share) => {
			const record = emptyRecord(arrival, elapsedMs());
			records.push(record);
			await follow(record, {
				arrival, share, options, callers, series, totals, elapsedMs, signal: end.signal, ended,
			});
		}, shares);
		await sleep(Math.max(0, durationMs - elapsedMs()));
		await settledWithin(Promise.all(open), options.drainMs ?? 0);
		end.abort();
		await Promise.all(open);
		await callers.close();
		return {
			records, series, totals, startedAt,
		};
	};

	return {
		records, startedAt, elapsedMs, finished: finish(),
	};
}

async function sendAll(
	arrivals: Arrival[],
	elapsedMs: () => number,
	send: (arrival: Arrival, share: WorkspaceShare) => Promise<void>,
	shares: Map<string, WorkspaceShare>,
): Promise<Array<Promise<void>>> {
	const open: Array<Promise<void>> = [];
	for (const arrival of arrivals) {
		const waitMs = arrival.atMs - elapsedMs();
		if (waitMs > 0) {
			await sleep(waitMs);
		}

		const share = shares.get(arrival.workspace);
		if (share) {
			open.push(send(arrival, share));
		}
	}

	return open;
}

type Following = {
	arrival: Arrival;
	share: WorkspaceShare;
	options: LoadOptions;
	callers: Callers;
	series: ServiceSeries;
	totals: ServiceSeries;
	elapsedMs: () => number;
	signal: AbortSignal;
	/** Settles when the load ends. */
	ended: Promise<unknown>;
};

/** Follows one request to its end, over its retries. */
async function follow(record: RequestRecord, following: Following): Promise<void> {
	const {options, signal, ended, elapsedMs} = following;
	const attemptsAllowed = (options.retries ?? 0) + 1;
	for (let attempts = 1; attempts <= attemptsAllowed; attempts++) {
		const result = await tryOnce(record, attempts, following);
		apply(record, result, attempts, elapsedMs());
		const mayRetry = result.ending === Ending.Refused && result.outcome === 'not-run';
		if (!mayRetry || signal.aborted) {
			return;
		}

		if (attempts < attemptsAllowed) {
			await settledWithin(ended, Math.max(leastRetryMs, result.retryAfterMs ?? 0));
		}
	}
}

async function tryOnce(record: RequestRecord, attempts: number, following: Following): Promise<AttemptResult> {
	const {arrival, share, options, callers, series, totals, elapsedMs, signal} = following;
	record.entry = options.entryOf?.(arrival, attempts) ?? arrival.entry;
	return attempt({
		dispatcher: callers.of(share.id),
		entry: record.entry,
		arrival,
		key: share.key,
		pool: enginePool,
		signal,
		onFirstByte() {
			record.firstByteMs = elapsedMs();
			series.add(share.id, record.firstByteMs, arrival.inputTokens / share.weight);
			totals.add(Total.FirstBytes, record.firstByteMs, 1);
		},
		onTokens(tokens) {
			record.outputTokens += tokens;
			series.add(share.id, elapsedMs(), tokens / share.weight);
			totals.add(Total.Tokens, elapsedMs(), tokens);
		},
	});
}

function apply(record: RequestRecord, result: AttemptResult, attempts: number, endMs: number): void {
	record.status = result.status;
	record.ending = result.ending;
	record.fault = result.fault;
	record.outcome = result.outcome;
	record.attempts = attempts;
	record.endMs = endMs;
}

function emptyRecord({workspace, entry, inputTokens}: Arrival, sentMs: number): RequestRecord {
	return {
		workspace,
		entry,
		inputTokens,
		outputTokens: 0,
		sentMs,
		firstByteMs: Number.NaN,
		endMs: Number.NaN,
		status: 0,
		ending: Ending.Unfinished,
		fault: '',
		outcome: '',
		attempts: 0,
	};
}
