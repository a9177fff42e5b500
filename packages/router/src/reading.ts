/*
Takes the reading that the metrics are set from.
*/
import process from 'node:process';
import type {RefusalKind, Outcome, Refusal} from '@shallotloom/core/refusal.ts';
import {computeVirtualTime, getWeight} from '@shallotloom/core/systems/fair-shares/served-tokens.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {Reading, StoreCall, WorkspaceReading} from './metrics.ts';
import type {Traffic} from './traffic.ts';

export type Counts = {
	countRefusal(refusal: Refusal): void;
	countStoreCall(call: StoreCall): void;
	countStep(ms: number): void;
	/** Everything counted so far; durations of steps are handed out once. */
	read(world: World, traffic: Traffic): Reading;
};

/** Most step durations that wait for a scrape. */
const stepLimit = 10_000;

/** Creates the counts of one router. */
export function createCounts(): Counts {
	const refusals = new Map<string, {kind: RefusalKind; outcome: Outcome; count: number}>();
	const storeCalls: Record<StoreCall, number> = {
		get: 0, put: 0, delete: 0, list: 0, watch: 0,
	};
	let stepsMs: number[] = [];
	return {
		countRefusal({kind, outcome}) {
			const key = `${kind} ${outcome}`;
			const row = refusals.get(key) ?? {kind, outcome, count: 0};
			row.count += 1;
			refusals.set(key, row);
		},
		countStoreCall(call) {
			storeCalls[call] += 1;
		},
		countStep(ms) {
			if (stepsMs.length < stepLimit) {
				stepsMs.push(ms);
			}
		},
		read(world, traffic) {
			const {received, sent} = traffic.bytes();
			const taken = stepsMs;
			stepsMs = [];
			return {
				workspaces: workspaceReadings(world),
				targets: [...world.budgets.rows()].map(({target, phase, budget}) => ({
					id: target, phase, budget, permits: world.permits.count(target),
				})),
				refusals: [...refusals.values()],
				controlBytesIn: received,
				controlBytesOut: sent,
				storeCalls: {...storeCalls},
				leaseAgeMs: Math.max(0, world.limits.leaseDurationMs - (world.lease.validUntil - world.now)),
				revision: world.configuration.revision,
				stepsMs: taken,
				heapBytes: process.memoryUsage().heapUsed,
			};
		},
	};
}

/** One row a workspace, over all pools that it uses here. */
function workspaceReadings(world: World): WorkspaceReading[] {
	const rows = new Map<string, WorkspaceReading>();
	const ahead = mostServed(world);
	for (const service of world.servedTokens.rows()) {
		const row = rowOf(rows, service.workspace);
		const isBacklogged = service.waiting + service.remoteWaiting > 0;
		const lead = (ahead.get(service.pool) ?? 0) - computeVirtualTime(world, service);
		row.service += Math.max(0, service.local);
		row.waiting += service.waiting;
		row.gap = isBacklogged ? Math.max(row.gap, lead * getWeight(world, service.workspace)) : row.gap;
	}

	for (const {workspace, retriesSpent: retried} of world.demands.rows()) {
		rowOf(rows, workspace).retries += retried;
	}

	return [...rows.values()];
}

function rowOf(rows: Map<string, WorkspaceReading>, id: string): WorkspaceReading {
	const row = rows.get(id) ?? {
		id, service: 0, waiting: 0, gap: 0, retries: 0,
	};
	rows.set(id, row);
	return row;
}

function mostServed(world: World): Map<string, number> {
	const most = new Map<string, number>();
	for (const service of world.servedTokens.rows()) {
		if (service.waiting + service.remoteWaiting > 0) {
			most.set(service.pool, Math.max(most.get(service.pool) ?? 0, computeVirtualTime(world, service)));
		}
	}

	return most;
}
