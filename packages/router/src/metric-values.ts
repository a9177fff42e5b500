/*
Counts events and collects the current values of the metrics.
*/
import process from 'node:process';
import type {RefusalKind, Outcome, Refusal} from '@shallotloom/core/refusal.ts';
import {computeVirtualTime, getWeight} from '@shallotloom/core/systems/fair-shares/served-tokens.ts';
import type {World} from '@shallotloom/core/world.ts';
import type {MetricValues, StoreCall, WorkspaceValues} from './metrics.ts';
import type {ControlTraffic} from './control-traffic.ts';

export type MetricCounters = {
	countRefusal(refusal: Refusal): void;
	countStoreCall(call: StoreCall): void;
	countStep(ms: number): void;
	/** Returns the current values. Each step duration is returned by one call only. */
	collect(world: World, controlTraffic: ControlTraffic): MetricValues;
};

/** Maximum number of step durations kept between two scrapes; further ones are discarded. */
const maxPendingSteps = 10_000;

export function createMetricCounters(): MetricCounters {
	const refusals = new Map<string, {kind: RefusalKind; outcome: Outcome; count: number}>();
	const storeCalls: Record<StoreCall, number> = {
		get: 0, put: 0, delete: 0, list: 0, watch: 0,
	};
	let stepsMs: number[] = [];
	return {
		countRefusal({kind, outcome}) {
			const key = `${kind} ${outcome}`;
			const refusalCount = refusals.get(key) ?? {kind, outcome, count: 0};
			refusalCount.count += 1;
			refusals.set(key, refusalCount);
		},
		countStoreCall(call) {
			storeCalls[call] += 1;
		},
		countStep(ms) {
			if (stepsMs.length < maxPendingSteps) {
				stepsMs.push(ms);
			}
		},
		collect(world, controlTraffic) {
			const {received, sent} = controlTraffic.getByteCounts();
			const collectedStepsMs = stepsMs;
			stepsMs = [];
			return {
				workspaces: collectWorkspaces(world),
				targets: [...world.budgets.rows()].map(({target, phase, budget}) => ({
					id: target, phase, budget, permits: world.permits.count(target),
				})),
				refusals: [...refusals.values()],
				controlBytesIn: received,
				controlBytesOut: sent,
				storeCalls: {...storeCalls},
				leaseAgeMs: Math.max(0, world.limits.leaseDurationMs - (world.lease.validUntil - world.now)),
				revision: world.configuration.revision,
				stepsMs: collectedStepsMs,
				heapBytes: process.memoryUsage().heapUsed,
			};
		},
	};
}

/** Returns one row per workspace, summed over the pools that it uses at this router; the gap is the largest of any pool. */
function collectWorkspaces(world: World): WorkspaceValues[] {
	const rows = new Map<string, WorkspaceValues>();
	const maxVirtualTimes = computeMaxVirtualTimes(world);
	for (const service of world.servedTokens.rows()) {
		const row = getOrCreateRow(rows, service.workspace);
		const isBacklogged = service.waiting + service.remoteWaiting > 0;
		const lead = (maxVirtualTimes.get(service.pool) ?? 0) - computeVirtualTime(world, service);
		row.servedTokens += Math.max(0, service.local);
		row.waiting += service.waiting;
		row.gap = isBacklogged ? Math.max(row.gap, lead * getWeight(world, service.workspace)) : row.gap;
	}

	for (const {workspace, retriesSpent} of world.demands.rows()) {
		getOrCreateRow(rows, workspace).retries += retriesSpent;
	}

	return [...rows.values()];
}

function getOrCreateRow(rows: Map<string, WorkspaceValues>, id: string): WorkspaceValues {
	const row = rows.get(id) ?? {
		id, servedTokens: 0, waiting: 0, gap: 0, retries: 0,
	};
	rows.set(id, row);
	return row;
}

/** Highest virtual time of the backlogged workspaces, by pool. */
function computeMaxVirtualTimes(world: World): Map<string, number> {
	const maxima = new Map<string, number>();
	for (const service of world.servedTokens.rows()) {
		if (service.waiting + service.remoteWaiting > 0) {
			maxima.set(service.pool, Math.max(maxima.get(service.pool) ?? 0, computeVirtualTime(world, service)));
		}
	}

	return maxima;
}
