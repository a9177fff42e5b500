/*
Polls the load reports of the targets that this router owns.
*/
import {request} from 'undici';
import type {InboundOf} from '@shallotloom/core/ports.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {Timer} from '../timer.ts';
import type {TargetAgents} from './target-agents.ts';

type LoadReport = {startId?: string; running?: number; ageMs?: number; cold?: boolean};

export type LoadPollingOptions = {
	world: World;
	timer: Timer;
	periodMs: number;
	agents: TargetAgents;
	onReport: (report: InboundOf<'loadReport'>) => void;
};

async function fetchLoadReport(url: string, agents: TargetAgents, timeoutMs: number): Promise<LoadReport | undefined> {
	try {
		const {statusCode, body} = await request(`${url}/load`, {
			dispatcher: agents.keepAlive, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, signal: AbortSignal.timeout(timeoutMs),
		});
		const text = await body.text();
		return statusCode === 200 ? JSON.parse(text) as LoadReport : undefined;
	} catch {
		return undefined;
	}
}

/** Starts polling; the returned function stops it. */
export function startLoadPolling({world, timer, periodMs, agents, onReport}: LoadPollingOptions): () => void {
	const inFlight = new Set<string>();

	async function poll(target: string, url: string) {
		if (inFlight.has(target)) {
			return;
		}

		inFlight.add(target);
		const sentAt = timer.now();
		const report = await fetchLoadReport(url, agents, 4 * periodMs);
		inFlight.delete(target);
		onReport({
			kind: 'loadReport',
			target,
			startId: report?.startId ?? '',
			running: report?.running ?? 0,
			ageMs: report?.ageMs ?? 0,
			roundTripMs: timer.now() - sentAt,
			reachable: report !== undefined,
			cold: report?.cold,
		});
	}

	return timer.subscribe(periodMs, () => {
		for (const {target} of world.budgets.rows()) {
			const configured = world.configuration.targets.get(target);
			if (configured) {
				void poll(target, configured.url);
			}
		}
	});
}
