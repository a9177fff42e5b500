/*
A closed loop: a fixed number of callers that each send the next request when the last has been answered. It measures how
many requests a second go through.
*/
import {setMaxListeners} from 'node:events';
import {Agent} from 'undici';
import {clientAddress, enginePool, type WorkspaceShare} from '../deployment/plan.ts';
import {attempt} from './attempt.ts';
import {Ending} from './record.ts';

export type ClosedLoopOptions = {
	/** Base URLs, dealt out to the callers in turn. */
	entries: string[];
	callers: number;
	durationMs: number;
	/** Workspaces, dealt out to the callers in turn. */
	workspaces: WorkspaceShare[];
	inputTokens: number;
	outputTokens: number;
};

export type ClosedLoopResult = {
	requestsPerSecond: number;
	/** Requests that got no whole answer. */
	failed: number;
};

export async function runClosedLoop(options: ClosedLoopOptions): Promise<ClosedLoopResult> {
	const dispatcher = new Agent({connect: {localAddress: clientAddress}, headersTimeout: 0, bodyTimeout: 0});
	const end = new AbortController();
	// Every open request listens to the end of the load.
	setMaxListeners(0, end.signal);
	const timer = setTimeout(() => {
		end.abort();
	}, options.durationMs);
	const counts = await Promise.all(Array.from({length: options.callers}, async (_, index) => caller(options, index, dispatcher, end.signal)));
	clearTimeout(timer);
	await dispatcher.destroy();
	const whole = counts.reduce((sum, count) => sum + count.whole, 0);
	const failed = counts.reduce((sum, count) => sum + count.failed, 0);
	return {requestsPerSecond: whole * 1000 / options.durationMs, failed};
}

async function caller(options: ClosedLoopOptions, index: number, dispatcher: Agent, signal: AbortSignal) {
	const {entries, workspaces, inputTokens, outputTokens} = options;
	const entry = entries[index % entries.length] ?? '';
	const workspace = workspaces[index % workspaces.length];
	const arrival = {
		atMs: 0, workspace: workspace?.id ?? '', entry, inputTokens, outputTokens, costHint: outputTokens,
	};
	let whole = 0;
	let failed = 0;
	while (!signal.aborted) {
		const {ending} = await attempt({
			dispatcher,
			entry,
			arrival,
			key: workspace?.key ?? '',
			pool: enginePool,
			signal,
		});
		whole += Number(ending === Ending.Whole);
		failed += Number(ending !== Ending.Whole && ending !== Ending.Unfinished);
	}

	return {whole, failed};
}
