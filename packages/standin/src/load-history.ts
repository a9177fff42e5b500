/*
Load of a target as its report shows it: snapshots, served with a lag.
*/

export type LoadSnapshot = {startId: string; running: number; cold: boolean};

/** Load report; `ageMs` is the age of the snapshot. */
export type LoadReport = LoadSnapshot & {ageMs: number};

export type LoadHistory = {
	/** Takes a snapshot, at most every 50 ms. */
	record(now: number): void;
	/** The newest snapshot that is at least `lagMs` old, or the oldest there is; without a lag the load as it is. */
	report(lagMs: number, now: number): LoadReport;
};

const snapshotEveryMs = 50;
const keptSnapshots = 1200;

/** Creates a history that starts with the load as it is. */
export function createLoadHistory(current: () => LoadSnapshot, now: number): LoadHistory {
	const snapshots: Array<LoadSnapshot & {at: number}> = [{...current(), at: now}];
	return {
		record(at) {
			if (at - snapshots.at(-1)!.at < snapshotEveryMs) {
				return;
			}

			snapshots.push({...current(), at});
			if (snapshots.length > keptSnapshots) {
				snapshots.shift();
			}
		},
		report(lagMs, at) {
			if (lagMs <= 0) {
				return {...current(), ageMs: 0};
			}

			const {at: takenAt, ...snapshot} = snapshots.findLast(entry => at - entry.at >= lagMs) ?? snapshots[0]!;
			return {...snapshot, ageMs: Math.round(at - takenAt)};
		},
	};
}
