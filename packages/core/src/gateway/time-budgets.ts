/*
Budgets of the bounds in time. Several parts work one after another until a change of the platform's data is in force everywhere, or until
an outage is over; none of them sees what the others use of the time. So each path is a list of parts, and the times of the parts that
can vary follow from the bounds: every path has to fit. `listPaths` names the paths with their parts, for tests and for the design page.
The same holds for a planned stop, whose parts add up to the grace period: `listStopParts`.
*/
import {DataKind} from './data-sources.ts';
import {watchRolePeriodMs} from './limits.ts';

/** Bounds in time, in milliseconds. */
export type TimeBounds = {
	/** From the platform's confirmation that a target is leaving until it gets no more requests. */
	departureMs: number;
	/** The same for a configuration and its effect. */
	configurationMs: number;
	/** The same for a failure domain that is taken out. */
	domainOutMs: number;
	/** From the end of an outage, or the loss of a connection, until the bounds above hold again. */
	recoveryMs: number;
};

/** Times of the parts, in milliseconds. */
export type TimeBudget = {
	digestMs: number;
	standbyDigestMs: number;
	/** Time for which another instance has a change before this one asks the platform for it. */
	missingDataMs: number;
	/** Silence of all instances that watch data closely after which another one does so itself. */
	watcherSilenceMs: number;
	/** Time after the end of an outage in which entries of running targets that lapsed may come back. */
	relistTimeoutMs: number;
	/** Timeout of a request that doesn't wait for a change. */
	requestTimeoutMs: number;
	/** Time beyond its wait after which an unanswered watch fails. */
	watchMarginMs: number;
	/** Longest pause after a failed request, jitter included. */
	maxRetryPauseMs: number;
	/** Longest delay between a change and the next request, jitter included, by kind of data. */
	maxBatchDelayMs: Record<DataKind, number>;
	/** Wait of a watch while other instances watch the same data. */
	watchWaitMs: Record<DataKind, number>;
	/** Wait of a watch on the only instance that watches the data closely: nobody else notices that the watch has gone silent. */
	soleWatchWaitMs: Record<DataKind, number>;
};

export type TimePath = {name: string; boundMs: number; partsMs: Record<string, number>};

/** Answer of a healthy platform, with a new connection. */
const answerMs = 100;

/** From an answer to its effect: two steps of the core. */
const applyMs = 40;

/** Pause after the first of several failed requests, jitter included. */
export const firstRetryPauseMs = 150;

/** Upper limits of the parts: more time is of no use, however long the bounds are. */
const maxDigestMs = 500;
const maxStandbyDigestMs = 1000;
const maxMissingDataMs = 300;
const maxRequestTimeoutMs = 1500;
const maxWatchMarginMs = 800;
const longestRetryPauseMs = 1200;

/** The platform lists running targets again within about two seconds. */
const maxRelistTimeoutMs = 2200;

/** Fractions of the shortest bound that parts may take which tell other instances of a change. */
const digestFraction = 0.25;
const standbyDigestFraction = 0.5;
const missingDataFraction = 0.15;

/** Silence after which a digest counts as missing, in periods of digests to instances that stand by. */
const watcherSilencePeriods = 1.5;

/** Fraction of the shortest bound after which an unanswered watch fails. */
const watchMarginFraction = 0.4;

/** Fractions of the time for noticing the platform's return. */
const requestTimeoutFraction = 0.5;
const retryPauseFraction = 0.4;

/** Smallest fraction of the time until a removal is in force after an outage that is left for noticing the platform's return. */
const minRecoveryFraction = 0.3;

/** Part of each bound that is kept free. */
const reserveFraction = 0.05;

/** Shortest wait of a watch, since each wait costs a request. */
const minWaitMs = 100;

/** Longest waits of watches, and delays between a change and the next request with jitter included, by kind of data. */
const maxWaitMs: Record<DataKind, number> = {
	[DataKind.Configuration]: 3000, [DataKind.Targets]: 3000, [DataKind.DomainsOut]: 4000, [DataKind.Instances]: 5000,
};

const maxDelayMs: Record<DataKind, number> = {
	[DataKind.Configuration]: 75, [DataKind.Targets]: 900, [DataKind.DomainsOut]: 75, [DataKind.Instances]: 2250,
};

/** Bound of the effect of a change; undefined for data without one. */
function getBoundMs({departureMs, configurationMs, domainOutMs}: TimeBounds, kind: DataKind): number | undefined {
	return {
		[DataKind.Targets]: departureMs, [DataKind.Configuration]: configurationMs, [DataKind.DomainsOut]: domainOutMs, [DataKind.Instances]: undefined,
	}[kind];
}

function mapKinds(compute: (kind: DataKind) => number): Record<DataKind, number> {
	return Object.fromEntries(Object.values(DataKind).map(kind => [kind, Math.floor(compute(kind))])) as Record<DataKind, number>;
}

/** Divides the bounds among the parts. */
export function createTimeBudget(bounds: TimeBounds): TimeBudget {
	const {departureMs, configurationMs, domainOutMs, recoveryMs} = bounds;
	const shortestMs = Math.min(departureMs, configurationMs, domainOutMs);
	const standbyDigestMs = Math.min(maxStandbyDigestMs, shortestMs * standbyDigestFraction);
	const missingDataMs = Math.min(maxMissingDataMs, shortestMs * missingDataFraction);
	const untilWatchedMs = (shortestMs * (1 - reserveFraction)) - watchRolePeriodMs - answerMs - applyMs;
	const untilListedMs = ((recoveryMs + departureMs) * (1 - reserveFraction)) - answerMs - applyMs;
	const relistTimeoutMs = Math.min(maxRelistTimeoutMs, untilListedMs * (1 - minRecoveryFraction));
	const untilReachedMs = Math.min(untilListedMs - relistTimeoutMs, (recoveryMs * (1 - reserveFraction)) - answerMs - applyMs);
	const requestTimeoutMs = Math.floor(Math.min(maxRequestTimeoutMs, untilReachedMs * requestTimeoutFraction));
	const watchMarginMs = Math.floor(Math.min(maxWatchMarginMs, requestTimeoutMs, shortestMs * watchMarginFraction));
	const afterSilenceMs = watchMarginMs + firstRetryPauseMs + answerMs + applyMs;

	function fitWait(kind: DataKind, boundMs: number): number {
		return Math.max(minWaitMs, Math.min(maxWaitMs[kind], (boundMs * (1 - reserveFraction)) - afterSilenceMs));
	}

	return {
		digestMs: Math.min(maxDigestMs, shortestMs * digestFraction),
		standbyDigestMs,
		missingDataMs,
		watcherSilenceMs: Math.min(watcherSilencePeriods * standbyDigestMs, untilWatchedMs),
		relistTimeoutMs: Math.floor(relistTimeoutMs),
		requestTimeoutMs,
		watchMarginMs,
		maxRetryPauseMs: Math.floor(Math.min(longestRetryPauseMs, untilReachedMs * retryPauseFraction)),
		maxBatchDelayMs: mapKinds(kind => {
			const boundMs = getBoundMs(bounds, kind) ?? Number.POSITIVE_INFINITY;
			return Math.max(0, Math.min(maxDelayMs[kind], (boundMs * (1 - reserveFraction)) - standbyDigestMs - missingDataMs - (2 * answerMs) - applyMs));
		}),
		// A change of these data that comes with the loss of a connection has to be in force when the bounds hold again.
		watchWaitMs: mapKinds(kind => fitWait(kind, kind === DataKind.Targets || kind === DataKind.Configuration ? recoveryMs : (getBoundMs(bounds, kind) ?? Number.POSITIVE_INFINITY))),
		soleWatchWaitMs: mapKinds(kind => fitWait(kind, Math.min(recoveryMs, getBoundMs(bounds, kind) ?? Number.POSITIVE_INFINITY))),
	};
}

const boundedKinds = [DataKind.Targets, DataKind.Configuration, DataKind.DomainsOut] as const;

/** The paths that have to fit into a bound, with the longest time of each part. */
export function listPaths(bounds: TimeBounds, budget: TimeBudget): TimePath[] {
	const {recoveryMs, departureMs} = bounds;
	const reached = {request: budget.requestTimeoutMs, pause: budget.maxRetryPauseMs, answer: answerMs};
	const afterSilence = {
		margin: budget.watchMarginMs, pause: firstRetryPauseMs, answer: answerMs, step: applyMs,
	};
	return [
		...boundedKinds.flatMap((kind): TimePath[] => {
			const boundMs = getBoundMs(bounds, kind)!;
			return [
				{
					name: `${kind}: reported by another instance`,
					boundMs,
					partsMs: {
						batch: budget.maxBatchDelayMs[kind], answer: answerMs, digest: budget.standbyDigestMs, missing: budget.missingDataMs, secondAnswer: answerMs, step: applyMs,
					},
				},
				{
					name: `${kind}: loss of the instances that report changes`,
					boundMs,
					partsMs: {
						silence: budget.watcherSilenceMs, period: watchRolePeriodMs, answer: answerMs, step: applyMs,
					},
				},
				{name: `${kind}: silent watch of the only watcher`, boundMs, partsMs: {wait: budget.soleWatchWaitMs[kind], ...afterSilence}},
				{name: `${kind}: silent watch`, boundMs: Math.max(boundMs, recoveryMs), partsMs: {wait: budget.watchWaitMs[kind], ...afterSilence}},
			];
		}),
		{name: 'changes during an outage', boundMs: recoveryMs, partsMs: {...reached, step: applyMs}},
		{
			name: 'a target that leaves once the bounds hold after an outage',
			boundMs: recoveryMs + departureMs,
			partsMs: {...reached, relist: budget.relistTimeoutMs, step: applyMs},
		},
	];
}

/** What the times of a planned stop follow from, in milliseconds. */
export type StopBounds = {
	/** From the request to stop until the process is killed. */
	graceMs: number;
	/** Time for which callers may cache an address. */
	addressTtlMs: number;
	/** Period of digests, from which other instances learn of the stop. */
	digestMs: number;
};

/** Times of a planned stop, in milliseconds. */
export type StopBudget = {
	/** Time after the request to stop in which calls are taken that may outlast the stop. */
	lingerMs: number;
	/** Time after the request to stop at which the calls that are left get their final answers. */
	maxStopMs: number;
	/** Time after that for the bytes that have been written; then all connections are closed. */
	stopFlushMs: number;
	/** Time after that for the withdrawal of the registration; then the process exits. */
	stopExitMs: number;
};

/** Last part of the grace period, in which answers may be cut. */
const cutFraction = 1 / 6;

/** The part in which answers may be cut is divided evenly: a delay before the cut, the flush, the exit, and a margin before the kill. */
const cutParts = 4;

/** Upper limits of the parts of long grace periods: more time is of no use. */
const maxStopFlushMs = 1000;
const maxStopExitMs = 500;
const maxStopMarginMs = 1000;

/** Largest fraction of the time until the final answers in which calls are taken that may outlast the stop. */
const lingerFraction = 0.4;

/** Longest such time: an answer to a later call counts as lost when it is cut. */
const maxLingerMs = 2500;

/** Divides the grace period among the parts of a planned stop. */
export function createStopBudget({graceMs, addressTtlMs, digestMs}: StopBounds): StopBudget {
	const partMs = graceMs * cutFraction / cutParts;
	const stopFlushMs = Math.floor(Math.min(maxStopFlushMs, partMs));
	const stopExitMs = Math.floor(Math.min(maxStopExitMs, partMs));
	const maxStopMs = Math.floor(graceMs - stopFlushMs - stopExitMs - Math.min(maxStopMarginMs, partMs));
	return {
		lingerMs: Math.floor(Math.min(maxLingerMs, addressTtlMs + digestMs, maxStopMs * lingerFraction)),
		maxStopMs,
		stopFlushMs,
		stopExitMs,
	};
}

/** The parts of a planned stop, one after another, up to the kill. */
export function listStopParts({graceMs}: StopBounds, budget: StopBudget): Record<string, number> {
	const {
		lingerMs, maxStopMs, stopFlushMs, stopExitMs,
	} = budget;
	return {
		linger: lingerMs,
		drain: maxStopMs - lingerMs,
		flush: stopFlushMs,
		exit: stopExitMs,
		margin: graceMs - maxStopMs - stopFlushMs - stopExitMs,
	};
}
