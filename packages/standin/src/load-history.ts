/*
Snapshots of a target's load, from which load reports are served with a lag.
*/

export type LoadSnapshot = {startId: string; running: number; cold: boolean};

/** Load report; `ageMs` is the age of the snapshot. */
export type LoadReport = LoadSnapshot & {ageMs: number};

export type LoadHistory = {
	/** Records a snapshot unless the last one is less than 50 ms old. */
	record(now: number): void;
	/** The newest snapshot that is at least `lagMs` old, or else the oldest one; the current load when `lagMs` is 0. */
	getReport(lagMs: number, now: number): LoadReport;
};

const snapshotIntervalMs = 50;
const maxSnapshots = 1200;

/** Creates a history whose first snapshot is the current load. */
export function createLoadHistory(getLoad: () => LoadSnapshot, now: number): LoadHistory {
	const snapshots: Array<LoadSnapshot & {at: number}> = [{...getLoad(), at: now}];
	return {
		record(at) {
			if (at - snapshots.at(-1)!.at < snapshotIntervalMs) {
				return;
			}

			snapshots.push({...getLoad(), at});
			if (snapshots.length > maxSnapshots) {
				snapshots.shift();
			}
		},
		getReport(lagMs, at) {
			if (lagMs <= 0) {
				return {...getLoad(), ageMs: 0};
			}

			const {at: recordedAt, ...snapshot} = snapshots.findLast(entry => at - entry.at >= lagMs) ?? snapshots[0]!;
			return {...snapshot, ageMs: Math.round(at - recordedAt)};
		},
	};
}
