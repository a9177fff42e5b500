/*
The router's metrics in Prometheus form. They are set from a reading, a plain object that the router takes before each
scrape. Label sets are bounded: of many workspaces or targets the busiest keep their own label and the rest share one.
*/
import {Phase} from '@shallotloom/core/messages.ts';
import type {Outcome, RefusalKind} from '@shallotloom/core/refusal.ts';
import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';

/** State of one workspace at this router. */
export type WorkspaceReading = {
	id: string;
	/** Weighted tokens charged since the router started. */
	service: number;
	/** Requests that wait. */
	waiting: number;
	/** Weighted tokens behind the most served backlogged workspace; 0 when it has no backlog. */
	gap: number;
	/** Requests sent again since the router started. */
	retries: number;
};

/** State of one target that this router owns. */
export type TargetReading = {
	id: string;
	phase: Phase;
	/** Permits that are out. */
	permits: number;
	budget: number;
};

export type RefusalReading = {
	kind: RefusalKind;
	outcome: Outcome;
	/** Since the router started. */
	count: number;
};

/** Operations on the Object API that are counted. */
export type StoreCall = 'get' | 'put' | 'delete' | 'list' | 'watch';

/** What the router knows at one moment; counts run since it started. */
export type Reading = {
	workspaces: WorkspaceReading[];
	targets: TargetReading[];
	refusals: RefusalReading[];
	controlBytesIn: number;
	controlBytesOut: number;
	storeCalls: Record<StoreCall, number>;
	/** Time since the lease was last renewed. */
	leaseAgeMs: number;
	/** Revision of the configuration in force. */
	revision: number;
	/** Durations of the steps since the reading before, in milliseconds. */
	stepsMs: number[];
	/** Heap in use by the process. */
	heapBytes: number;
};

export type Metrics = {
	/** Sets every metric. */
	set(reading: Reading): void;
	/** Text of the scrape and its content type. */
	scrape(): Promise<{text: string; contentType: string}>;
};

export type MetricsOptions = {
	/** Most workspaces with a label of their own. */
	maxWorkspaces: number;
	/** Most targets with a label of their own. */
	maxTargets: number;
};

export const metricsDefaults: MetricsOptions = {maxWorkspaces: 200, maxTargets: 100};

/** Label that rows beyond the bound share; no entity can have this name. */
export const otherLabel = '(other)';

const millisecondsInSecond = 1000;
const stepBucketsSeconds = [0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25];

/** Creates the metrics of one router in a registry of their own. */
export function createMetrics(options: Partial<MetricsOptions> = {}): Metrics {
	const {maxWorkspaces, maxTargets} = {...metricsDefaults, ...options};
	const registry = new Registry();
	const setters = [
		workspaceMetrics(registry, maxWorkspaces),
		targetMetrics(registry, maxTargets),
		refusalMetrics(registry),
		controlMetrics(registry),
		stepMetrics(registry),
		processMetrics(registry),
	];
	return {
		set(reading) {
			for (const setter of setters) {
				setter(reading);
			}
		},
		scrape: async () => ({text: await registry.metrics(), contentType: registry.contentType}),
	};
}

type Setter = (reading: Reading) => void;

function workspaceMetrics(registry: Registry, bound: number): Setter {
	const service = counter(registry, 'service_weighted_tokens_total', 'Weighted tokens charged to a workspace', ['workspace']);
	const retries = counter(registry, 'retries_total', 'Requests sent again', ['workspace']);
	const waiting = gauge(registry, 'queue_requests', 'Requests that wait', ['workspace']);
	const gap = gauge(registry, 'fairness_gap_weighted_tokens', 'Weighted tokens behind the most served backlogged workspace', ['workspace']);
	return ({workspaces}) => {
		clear(service, retries, waiting, gap);
		for (const row of boundRows(workspaces, bound, ({waiting, service}) => [waiting, service], mergeWorkspaces)) {
			service.inc({workspace: row.id}, row.service);
			retries.inc({workspace: row.id}, row.retries);
			waiting.set({workspace: row.id}, row.waiting);
			gap.set({workspace: row.id}, row.gap);
		}
	};
}

function targetMetrics(registry: Registry, bound: number): Setter {
	const permits = gauge(registry, 'permits', 'Permits that are out', ['target']);
	const budget = gauge(registry, 'permit_budget', 'Most permits that may be out', ['target']);
	const phases = gauge(registry, 'targets', 'Owned targets by phase', ['phase']);
	return ({targets}) => {
		clear(permits, budget);
		for (const [phase, label] of phaseLabels) {
			phases.set({phase: label}, targets.filter(target => target.phase === phase).length);
		}

		for (const row of boundRows(targets, bound, ({permits, budget}) => [permits, budget], mergeTargets)) {
			permits.set({target: row.id}, row.permits);
			budget.set({target: row.id}, row.budget);
		}
	};
}

const phaseLabels: ReadonlyArray<[phase: Phase, label: string]> = [
	[Phase.Cold, 'cold'],
	[Phase.Ramping, 'ramping'],
	[Phase.Warm, 'warm'],
	[Phase.SetAside, 'set-aside'],
];

function refusalMetrics(registry: Registry): Setter {
	const refusals = counter(registry, 'refusals_total', 'Requests refused', ['kind', 'outcome']);
	return reading => {
		clear(refusals);
		for (const {kind, outcome, count} of reading.refusals) {
			refusals.inc({kind, outcome}, count);
		}
	};
}

function controlMetrics(registry: Registry): Setter {
	const bytes = counter(registry, 'control_bytes_total', 'Bytes of control traffic', ['direction']);
	const calls = counter(registry, 'store_calls_total', 'Calls to the Object API', ['operation']);
	const leaseAge = gauge(registry, 'lease_age_seconds', 'Time since the lease was renewed', []);
	const revision = gauge(registry, 'revision', 'Revision of the configuration in force', []);
	return reading => {
		clear(bytes, calls);
		bytes.inc({direction: 'in'}, reading.controlBytesIn);
		bytes.inc({direction: 'out'}, reading.controlBytesOut);
		for (const [operation, count] of Object.entries(reading.storeCalls)) {
			calls.inc({operation}, count);
		}

		leaseAge.set(reading.leaseAgeMs / millisecondsInSecond);
		revision.set(reading.revision);
	};
}

function stepMetrics(registry: Registry): Setter {
	const duration = new Histogram({
		name: 'shallotloom_step_duration_seconds', help: 'Duration of one step of the core', buckets: stepBucketsSeconds, registers: [registry],
	});
	return ({stepsMs}) => {
		for (const stepMs of stepsMs) {
			duration.observe(stepMs / millisecondsInSecond);
		}
	};
}

/** Under the name that Prometheus' clients for Node.js share. */
function processMetrics(registry: Registry): Setter {
	const heap = new Gauge({name: 'nodejs_heap_size_used_bytes', help: 'Heap in use', registers: [registry]});
	return ({heapBytes}) => {
		heap.set(heapBytes);
	};
}

function counter(registry: Registry, name: string, help: string, labelNames: string[]): Counter {
	return new Counter({
		name: `shallotloom_${name}`, help, labelNames, registers: [registry],
	});
}

function gauge(registry: Registry, name: string, help: string, labelNames: string[]): Gauge {
	return new Gauge({
		name: `shallotloom_${name}`, help, labelNames, registers: [registry],
	});
}

/** Drops the labels of the reading before, so that withdrawn entities don't stay. */
function clear(...metrics: Array<Counter | Gauge>) {
	for (const metric of metrics) {
		metric.reset();
	}
}

/** Keeps the rows of the highest rank and merges the rest into one. */
function boundRows<Row extends {id: string}>(rows: Row[], bound: number, rank: (row: Row) => number[], merge: (rows: Row[]) => Row): Row[] {
	if (rows.length <= bound) {
		return rows;
	}

	const ranked = rows.toSorted((left, right) => compare(rank(right), rank(left)) || left.id.localeCompare(right.id));
	return [...ranked.slice(0, bound), merge(ranked.slice(bound))];
}

function compare(left: number[], right: number[]): number {
	const index = left.findIndex((value, position) => value !== right[position]);
	return index === -1 ? 0 : left[index]! - right[index]!;
}

function mergeWorkspaces(rows: WorkspaceReading[]): WorkspaceReading {
	return {
		id: otherLabel,
		service: sum(rows.map(row => row.service)),
		waiting: sum(rows.map(row => row.waiting)),
		gap: Math.max(...rows.map(row => row.gap)),
		retries: sum(rows.map(row => row.retries)),
	};
}

function mergeTargets(rows: TargetReading[]): TargetReading {
	return {
		id: otherLabel,
		phase: Phase.Cold,
		permits: sum(rows.map(row => row.permits)),
		budget: sum(rows.map(row => row.budget)),
	};
}

function sum(values: number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
