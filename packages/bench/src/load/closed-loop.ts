/*
Closed-loop load: a fixed number of callers, each of which sends its next request once the previous one has ended. Measures
throughput.
*/
import {setMaxListeners} from 'node:events';
import {enginePool, type WorkspaceShare} from '../deployment/plan.ts';
import {attempt} from './attempt.ts';
import {createCallers, type Callers} from './callers.ts';
import {Ending} from './record.ts';

export type ClosedLoopOptions = {
	/** Base URLs, assigned to the callers round-robin. */
	entries: string[];
	callers: number;
	durationMs: number;
	/** Workspaces, assigned to the callers round-robin. */
	workspaces: WorkspaceShare[];
	inputTokens: number;
	outputTokens: number;
};

export type ClosedLoopResult = {
	requestsPerSecond: number;
	/** Rate of received output tokens, including those of unfinished answers. */
	tokensPerSecond: number;
	/** Requests that ended without a complete, valid answer; those still open at the end of the load don't count. */
	failed: number;
};

export async function runClosedLoop(options: ClosedLoopOptions): Promise<ClosedLoopResult> {
	const callers = createCallers(options.workspaces);
	const end = new AbortController();
	// Every open request adds a listener to the signal, so the leak warning is switched off.
	setMaxListeners(0, end.signal);
	const timer = setTimeout(() => {
		end.abort();
	}, options.durationMs);
	const counts = await Promise.all(Array.from({length: options.callers}, async (_, index) => runCaller(options, index, callers, end.signal)));
	clearTimeout(timer);
	await callers.close();
	const whole = counts.reduce((sum, count) => sum + count.whole, 0);
	const failed = counts.reduce((sum, count) => sum + count.failed, 0);
	const tokens = counts.reduce((sum, count) => sum + count.tokens, 0);
	return {requestsPerSecond: whole * 1000 / options.durationMs, tokensPerSecond: tokens * 1000 / options.durationMs, failed};
}

async function runCaller(options: ClosedLoopOptions, index: number, callers: Callers, signal: AbortSignal) {
	const {entries, workspaces, inputTokens, outputTokens} = options;
	const entry = entries[index % entries.length] ?? '';
	const workspace = workspaces[index % workspaces.length];
	const arrival = {
		atMs: 0, workspace: workspace?.id ?? '', entry, inputTokens, outputTokens, costHint: outputTokens,
	};
	let whole = 0;
	let failed = 0;
	let tokens = 0;
	const onTokens = (count: number) => {
		tokens += count;
	};

	while (!signal.aborted) {
		const {ending} = await attempt({
			dispatcher: callers.getAgent(arrival.workspace),
			entry,
			arrival,
			key: workspace?.key ?? '',
			pool: enginePool,
			signal,
			onTokens,
		});
		whole += Number(ending === Ending.Whole);
		failed += Number(ending !== Ending.Whole && ending !== Ending.Unfinished);
	}

	return {whole, failed, tokens};
}
