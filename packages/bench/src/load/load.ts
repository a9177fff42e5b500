/*
Open-loop load driver: sends each request of a schedule at its arrival time, independently of earlier requests, and records
its result and timing. One process drives the whole load over keep-alive connections.
*/
import {setMaxListeners} from 'node:events';
import {waitAtMost, sleep} from '../deployment/http.ts';
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
	/** Selects the base URL of an attempt, counted from 1; the arrival's `entry` by default. */
	selectEntry?: (arrival: Arrival, attempt: number) => string;
	/** How often a refused request with outcome `not-run` is retried, each time after its Retry-After; 0 by default. */
	retries?: number;
	/** How long to wait for open requests after `durationMs`; 0 by default. */
	drainMs?: number;
};

/** Shortest delay before a retry. */
const minRetryMs = 50;

export type LoadResult = {
	records: RequestRecord[];
	/** Weighted tokens by workspace: input tokens at the first byte, output tokens as they arrive. */
	series: ServiceSeries;
	/** First bytes and output tokens of the whole load, by `Total`. */
	totals: ServiceSeries;
	/** Start of the load, in milliseconds since the epoch. */
	startedAt: number;
};

export type RunningLoad = {
	/** Records of the requests sent so far; updated in place as answers arrive. */
	records: RequestRecord[];
	/** Start of the load, in milliseconds since the epoch. */
	startedAt: number;
	/** Returns the time since the start of the load. */
	getElapsedMs: () => number;
	finished: Promise<LoadResult>;
};

/** Starts the load and returns at once. */
export function startLoad(options: LoadOptions): RunningLoad {
	const {arrivals, durationMs, workspaces} = options;
	const start = performance.now();
	const startedAt = Date.now();
	const getElapsedMs = () => performance.now() - start;
	const series = createServiceSeries(durationMs);
	const totals = createServiceSeries(durationMs);
	const records: RequestRecord[] = [];
	const workspacesById = new Map(workspaces.map(workspace => [workspace.id, workspace]));
	const callers = createCallers(workspaces);
	const end = new AbortController();
	// Every open request adds a listener to the signal, so the leak warning is switched off.
	setMaxListeners(0, end.signal);
	const ended = new Promise(resolve => {
		end.signal.addEventListener('abort', resolve, {once: true});
	});

	const finish = async () => {
		const open = await sendAll(arrivals, getElapsedMs, async (arrival, workspaceShare) => {
			const record = createRecord(arrival, getElapsedMs());
			records.push(record);
			await sendWithRetries(record, {
				arrival, workspaceShare, options, callers, series, totals, getElapsedMs, signal: end.signal, ended,
			});
		}, workspacesById);
		await sleep(Math.max(0, durationMs - getElapsedMs()));
		await waitAtMost(Promise.all(open), options.drainMs ?? 0);
		end.abort();
		await Promise.all(open);
		await callers.close();
		return {
			records, series, totals, startedAt,
		};
	};

	return {
		records, startedAt, getElapsedMs, finished: finish(),
	};
}

async function sendAll(
	arrivals: Arrival[],
	getElapsedMs: () => number,
	send: (arrival: Arrival, workspaceShare: WorkspaceShare) => Promise<void>,
	workspacesById: Map<string, WorkspaceShare>,
): Promise<Array<Promise<void>>> {
	const open: Array<Promise<void>> = [];
	for (const arrival of arrivals) {
		const waitMs = arrival.atMs - getElapsedMs();
		if (waitMs > 0) {
			await sleep(waitMs);
		}

		const workspaceShare = workspacesById.get(arrival.workspace);
		if (workspaceShare) {
			open.push(send(arrival, workspaceShare));
		}
	}

	return open;
}

type RequestContext = {
	arrival: Arrival;
	workspaceShare: WorkspaceShare;
	options: LoadOptions;
	callers: Callers;
	series: ServiceSeries;
	totals: ServiceSeries;
	getElapsedMs: () => number;
	signal: AbortSignal;
	/** Resolves when the load ends. */
	ended: Promise<unknown>;
};

/** Sends one request, with its retries, and updates its record after each attempt. */
async function sendWithRetries(record: RequestRecord, context: RequestContext): Promise<void> {
	const {options, signal, ended, getElapsedMs} = context;
	const maxAttempts = (options.retries ?? 0) + 1;
	for (let attemptNumber = 1; attemptNumber <= maxAttempts; attemptNumber++) {
		const result = await sendAttempt(record, attemptNumber, context);
		applyResult(record, result, attemptNumber, getElapsedMs());
		const canRetry = result.ending === Ending.Refused && result.outcome === 'not-run';
		if (!canRetry || signal.aborted) {
			return;
		}

		if (attemptNumber < maxAttempts) {
			await waitAtMost(ended, Math.max(minRetryMs, result.retryAfterMs ?? 0));
		}
	}
}

async function sendAttempt(record: RequestRecord, attemptNumber: number, context: RequestContext): Promise<AttemptResult> {
	const {arrival, workspaceShare, options, callers, series, totals, getElapsedMs, signal} = context;
	record.entry = options.selectEntry?.(arrival, attemptNumber) ?? arrival.entry;
	return attempt({
		dispatcher: callers.getAgent(workspaceShare.id),
		entry: record.entry,
		arrival,
		key: workspaceShare.key,
		pool: enginePool,
		signal,
		onFirstByte() {
			record.firstByteMs = getElapsedMs();
			series.add(workspaceShare.id, record.firstByteMs, arrival.inputTokens / workspaceShare.weight);
			totals.add(Total.FirstBytes, record.firstByteMs, 1);
		},
		onTokens(tokens) {
			record.outputTokens += tokens;
			series.add(workspaceShare.id, getElapsedMs(), tokens / workspaceShare.weight);
			totals.add(Total.Tokens, getElapsedMs(), tokens);
		},
	});
}

function applyResult(record: RequestRecord, result: AttemptResult, attempts: number, endMs: number): void {
	record.status = result.status;
	record.ending = result.ending;
	record.fault = result.fault;
	record.outcome = result.outcome;
	record.attempts = attempts;
	record.endMs = endMs;
}

function createRecord({workspace, entry, inputTokens}: Arrival, sentMs: number): RequestRecord {
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
