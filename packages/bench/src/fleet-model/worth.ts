/*
Scores a run of the simulated fleet by its worth to callers: the ratio of earned to owed worth over the whole run, in the worst
windows, for the worst kind of request and for the worst workspaces, less a price for tokens that were prefilled repeatedly.
*/
import {waterLevel} from '@shallotloom/core/gateway/shares.ts';
import {mean, percentile} from '../measure/figures.ts';
import {CallEnd, type CallRecord, type FleetRun} from './fleet.ts';

export type Worth = {
	/** Weighted sum of `whole`, `windows`, `kind` and `workspaces`, less `rereads`. */
	worth: number;
	/** Ratio of earned to owed worth over the whole run, in the two worst windows, of the worst kind and of the worst workspaces. */
	whole: number;
	windows: number;
	kind: number;
	workspaces: number;
	/** Price of the tokens that were prefilled repeatedly, as a fraction of all owed worth, and their number. */
	rereads: number;
	rereadTokens: number;
	/** Number of all requests, and of those that ended in each way. */
	asked: number;
	onTime: number;
	late: number;
	refused: number;
	/** Weighted tokens of the requests sent to engines, per second. */
	tokensPerSecond: number;
	/**
	Number of six-second spans in which a workspace had requests that weren't served on time in every second, and got less than
	half of what it requested or, where that is less, of what the best-served workspace got.
	*/
	unfairSpans: number;
	/** 99th percentile of the time to the first byte of served requests, in milliseconds; NaN when none was served. */
	firstP99Ms: number;
};

export type WorthOptions = {
	seconds: number;
	tokensPerSecond: number;
	/** Price of a thousand tokens that are prefilled repeatedly, in the unit of a request's worth. */
	duplicatePrefillPrice: number;
};

/** Weight of each ratio in the worth of a run. */
const weights = {
	whole: 0.45, windows: 0.15, kind: 0.1, workspaces: 0.3,
};

const windowMs = 4000;

/** Fraction of the workspaces that count as the worst. */
const worstWorkspacesFraction = 0.1;

const spanSeconds = 6;

function getEarnedWorth({request, end}: CallRecord): number {
	return {[CallEnd.OnTime]: request.worth, [CallEnd.Late]: request.lateWorth, [CallEnd.Refused]: 0}[end];
}

function sumBy<Row>(rows: Row[], value: (row: Row) => number): number {
	return rows.reduce((sum, row) => sum + value(row), 0);
}

function groupBy(records: CallRecord[], getKey: (record: CallRecord) => string): CallRecord[][] {
	const groups = new Map<string, CallRecord[]>();
	for (const record of records) {
		const key = getKey(record);
		const group = groups.get(key) ?? [];
		groups.set(key, group);
		group.push(record);
	}

	return [...groups.values()];
}

function getWindow({requestedAt}: CallRecord): string {
	return String(Math.floor(requestedAt / windowMs));
}

/** Fraction of each call's worth that is owed: in a window, a workspace is owed no more tokens than its max-min fair share. */
function computeOwedFractions(records: CallRecord[], tokensPerSecond: number): Map<CallRecord, number> {
	const owedFractions = new Map<CallRecord, number>();
	for (const window of groupBy(records, getWindow)) {
		const workspaces = groupBy(window, ({request}) => request.workspace);
		const demands = workspaces.map(calls => sumBy(calls, ({request}) => request.cost));
		const level = waterLevel(demands, tokensPerSecond * windowMs / 1000);
		for (const [index, calls] of workspaces.entries()) {
			for (const call of calls) {
				owedFractions.set(call, Math.min(1, level / demands[index]!));
			}
		}
	}

	return owedFractions;
}

/** Counts the spans in which a workspace falls far behind, with a tolerance of three times the largest request. */
function countUnfairSpans({records, sentRequests}: Pick<FleetRun, 'records' | 'sentRequests'>): number {
	const toSecond = (at: number) => Math.floor(at / 1000);
	const seconds = toSecond(Math.max(...records.map(({requestedAt}) => requestedAt)));
	const workspaces = [...new Set(records.map(({request}) => request.workspace))];
	const createSecondCounts = () => new Map(workspaces.map(workspace => [workspace, Array.from({length: seconds + spanSeconds}, () => 0)]));
	const requested = createSecondCounts();
	const notOnTime = createSecondCounts();
	const served = createSecondCounts();
	let largestCost = 0;
	for (const {request, requestedAt, end} of records) {
		requested.get(request.workspace)![toSecond(requestedAt)]! += request.cost;
		notOnTime.get(request.workspace)![toSecond(requestedAt)]! += end === CallEnd.OnTime ? 0 : 1;
		largestCost = Math.max(largestCost, request.cost);
	}

	for (const {sentAt, request} of sentRequests) {
		const bySecond = served.get(request.workspace);
		if (bySecond && toSecond(sentAt) < bySecond.length) {
			bySecond[toSecond(sentAt)]! += request.cost;
		}
	}

	let count = 0;
	for (let from = 0; from + spanSeconds <= seconds; from += 1) {
		const span = Array.from({length: spanSeconds}, (_, index) => from + index);
		const isFarBehind = (workspace: string) => {
			const expected = sumBy(span, second => Math.min(requested.get(workspace)![second]!, Math.max(...workspaces.map(other => served.get(other)![second]!))));
			return span.every(second => notOnTime.get(workspace)![second]! > 0) && sumBy(span, second => served.get(workspace)![second]!) < (expected / 2) - (3 * largestCost);
		};

		count += workspaces.filter(workspace => isFarBehind(workspace)).length;
	}

	return count;
}

export function computeWorth({records, duplicatePrefillTokens, sentRequests}: FleetRun, {seconds, tokensPerSecond, duplicatePrefillPrice}: WorthOptions): Worth {
	const owedFractions = computeOwedFractions(records, tokensPerSecond);
	const getOwedWorth = (rows: CallRecord[]) => sumBy(rows, row => row.request.worth * owedFractions.get(row)!);
	/** Earned worth; what a workspace earns in a window beyond what it is owed doesn't count. */
	const getCreditedWorth = (rows: CallRecord[]) => sumBy(groupBy(rows, row => `${getWindow(row)} ${row.request.workspace}`), calls => Math.min(getOwedWorth(calls), sumBy(calls, getEarnedWorth)));
	const computeRatio = (rows: CallRecord[]) => getCreditedWorth(rows) / Math.max(1e-9, getOwedWorth(rows));
	const meanOfWorst = (groups: CallRecord[][], count: number) => mean(groups.map(rows => computeRatio(rows)).toSorted((a, b) => a - b).slice(0, count));

	const workspaces = groupBy(records, ({request}) => request.workspace);
	const whole = computeRatio(records);
	const windows = meanOfWorst(groupBy(records, getWindow), 2);
	const kind = meanOfWorst(groupBy(records, ({request}) => request.kind.name), 1);
	const worstWorkspaces = meanOfWorst(workspaces, Math.ceil(workspaces.length * worstWorkspacesFraction));
	const rereads = duplicatePrefillPrice * duplicatePrefillTokens / 1000 / getOwedWorth(records);
	const countEnds = (end: CallEnd) => records.filter(record => record.end === end).length;
	return {
		worth: (weights.whole * whole) + (weights.windows * windows) + (weights.kind * kind) + (weights.workspaces * worstWorkspaces) - rereads,
		whole,
		windows,
		kind,
		workspaces: worstWorkspaces,
		rereads,
		rereadTokens: duplicatePrefillTokens,
		asked: records.length,
		onTime: countEnds(CallEnd.OnTime),
		late: countEnds(CallEnd.Late),
		refused: countEnds(CallEnd.Refused),
		tokensPerSecond: sumBy(sentRequests, ({request}) => request.cost) / seconds,
		unfairSpans: countUnfairSpans({records, sentRequests}),
		firstP99Ms: percentile(records.flatMap(({firstByteMs}) => firstByteMs ?? []), 99),
	};
}
