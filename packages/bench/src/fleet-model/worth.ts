/*
What a run of the model fleet is worth to its callers: earned against owed over the whole run, its worst windows, the worst kind
of request and the worst workspaces, less what tokens cost that were read again.
*/
import {waterLevel} from '@shallotloom/core/gateway/shares.ts';
import {computeMean, computePercentile} from '../measure/figures.ts';
import {CallEnd, type CallRecord, type FleetRun} from './fleet.ts';

export type Worth = {
	/** All parts, weighted, less prices. */
	worth: number;
	whole: number;
	windows: number;
	kind: number;
	workspaces: number;
	/** What tokens that were read again cost. */
	rereads: number;
	rereadTokens: number;
	asked: number;
	onTime: number;
	late: number;
	refused: number;
	/** Weighted tokens begun a second. */
	tokensPerSecond: number;
	/** Spans of six seconds in which a workspace that waited throughout got less than half of what it asked or the best got. */
	unfairSpans: number;
	/** 99th percentile of the time to the first byte of what was served, in milliseconds; NaN when nothing was. */
	firstP99Ms: number;
};

export type WorthOptions = {
	seconds: number;
	tokensPerSecond: number;
	/** Price of a thousand tokens that are read again, as a part of the worth of all that is owed. */
	rereadPrice: number;
};

const weights = {
	whole: 0.45, windows: 0.15, kind: 0.1, workspaces: 0.3,
};

const windowMs = 4000;

const worstPart = 0.1;

const spanSeconds = 6;

function earned({request, end}: CallRecord): number {
	return {[CallEnd.OnTime]: request.worth, [CallEnd.Late]: request.lateWorth, [CallEnd.Refused]: 0}[end];
}

function sumOf<Row>(rows: Row[], value: (row: Row) => number): number {
	return rows.reduce((sum, row) => sum + value(row), 0);
}

function groupsOf(records: CallRecord[], keyOf: (record: CallRecord) => string): CallRecord[][] {
	const groups = new Map<string, CallRecord[]>();
	for (const record of records) {
		const key = keyOf(record);
		const group = groups.get(key) ?? [];
		groups.set(key, group);
		group.push(record);
	}

	return [...groups.values()];
}

function windowOf({askedAt}: CallRecord): string {
	return String(Math.floor(askedAt / windowMs));
}

/** Part of each call's worth that is owed: a workspace is owed no more than its max-min share of the tokens in a window. */
function owedParts(records: CallRecord[], tokensPerSecond: number): Map<CallRecord, number> {
	const parts = new Map<CallRecord, number>();
	for (const window of groupsOf(records, windowOf)) {
		const workspaces = groupsOf(window, ({request}) => request.workspace);
		const demands = workspaces.map(calls => sumOf(calls, ({request}) => request.cost));
		const level = waterLevel(demands, tokensPerSecond * windowMs / 1000);
		for (const [index, calls] of workspaces.entries()) {
			for (const call of calls) {
				parts.set(call, Math.min(1, level / demands[index]!));
			}
		}
	}

	return parts;
}

/** Counts spans in which a workspace falls far behind; three of the largest requests are allowed for. */
function unfairSpans({records, begun}: Pick<FleetRun, 'records' | 'begun'>): number {
	const secondOf = (at: number) => Math.floor(at / 1000);
	const seconds = secondOf(Math.max(...records.map(({askedAt}) => askedAt)));
	const workspaces = [...new Set(records.map(({request}) => request.workspace))];
	const perSecond = () => new Map(workspaces.map(workspace => [workspace, Array.from({length: seconds + spanSeconds}, () => 0)]));
	const asked = perSecond();
	const waited = perSecond();
	const got = perSecond();
	let largest = 0;
	for (const {request, askedAt, end} of records) {
		asked.get(request.workspace)![secondOf(askedAt)]! += request.cost;
		waited.get(request.workspace)![secondOf(askedAt)]! += end === CallEnd.OnTime ? 0 : 1;
		largest = Math.max(largest, request.cost);
	}

	for (const {at, request} of begun) {
		const bySecond = got.get(request.workspace);
		if (bySecond && secondOf(at) < bySecond.length) {
			bySecond[secondOf(at)]! += request.cost;
		}
	}

	let count = 0;
	for (let from = 0; from + spanSeconds <= seconds; from += 1) {
		const span = Array.from({length: spanSeconds}, (_, index) => from + index);
		const isBehind = (workspace: string) => {
			const due = sumOf(span, second => Math.min(asked.get(workspace)![second]!, Math.max(...workspaces.map(other => got.get(other)![second]!))));
			return span.every(second => waited.get(workspace)![second]! > 0) && sumOf(span, second => got.get(workspace)![second]!) < (due / 2) - (3 * largest);
		};

		count += workspaces.filter(workspace => isBehind(workspace)).length;
	}

	return count;
}

/** Reckons the worth of a run. */
export function worthOf({records, rereadTokens, begun}: FleetRun, {seconds, tokensPerSecond, rereadPrice}: WorthOptions): Worth {
	const parts = owedParts(records, tokensPerSecond);
	const owed = (rows: CallRecord[]) => sumOf(rows, row => row.request.worth * parts.get(row)!);
	/** What a workspace earns in a window beyond what it is owed counts for nothing. */
	const credited = (rows: CallRecord[]) => sumOf(groupsOf(rows, row => `${windowOf(row)} ${row.request.workspace}`), calls => Math.min(owed(calls), sumOf(calls, earned)));
	const ratio = (rows: CallRecord[]) => credited(rows) / Math.max(1e-9, owed(rows));
	const worstOf = (groups: CallRecord[][], count: number) => computeMean(groups.map(rows => ratio(rows)).toSorted((a, b) => a - b).slice(0, count));

	const workspaces = groupsOf(records, ({request}) => request.workspace);
	const whole = ratio(records);
	const windows = worstOf(groupsOf(records, windowOf), 2);
	const kind = worstOf(groupsOf(records, ({request}) => request.kind.name), 1);
	const worstWorkspaces = worstOf(workspaces, Math.ceil(workspaces.length * worstPart));
	const rereads = rereadPrice * rereadTokens / 1000 / owed(records);
	const count = (end: CallEnd) => records.filter(record => record.end === end).length;
	return {
		worth: (weights.whole * whole) + (weights.windows * windows) + (weights.kind * kind) + (weights.workspaces * worstWorkspaces) - rereads,
		whole,
		windows,
		kind,
		workspaces: worstWorkspaces,
		rereads,
		rereadTokens,
		asked: records.length,
		onTime: count(CallEnd.OnTime),
		late: count(CallEnd.Late),
		refused: count(CallEnd.Refused),
		tokensPerSecond: sumOf(begun, ({request}) => request.cost) / seconds,
		unfairSpans: unfairSpans({records, begun}),
		firstP99Ms: computePercentile(records.flatMap(({firstMs}) => firstMs ?? []), 99),
	};
}
