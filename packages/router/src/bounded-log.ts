/*
Bounds the rate of a log. Under load the failed and refused calls are written before the served ones, and lines about no call, such
as a stop or a lost dependency, whatever the calls: each of these has an allowance of its own. One line a second says how many
lines were left out.
*/
import {LogPart} from '@shallotloom/core/ports.ts';
import type {Log, LogLevel} from './log.ts';
import type {Timer} from './timer.ts';

export type BoundedLog = Log & {
	/** Lines left out so far. */
	omitted(): number;
};

/** What a line counts against: `state` for lines about no request, its level for others. */
export type Allowance = LogLevel | 'state';

export type BoundedLogOptions = {
	log: Log;
	timer: Timer;
	/** Lines that the destination dropped since it was last asked. */
	takeDropped: () => number;
	/** Lines a second, by allowance; a level that has none is not written at all. */
	linesPerSecond: Record<Allowance, number>;
};

/** At most 120 lines a second and instance: some 35 KB/s, when all happens at once. */
export const linesPerSecondDefaults: Record<Allowance, number> = {
	error: 20, warn: 30, info: 30, debug: 0, state: 40,
};

const periodMs = 1000;

/** Creates the bounded log. */
export function createBoundedLog({log, timer, takeDropped, linesPerSecond}: BoundedLogOptions): BoundedLog {
	let left = {...linesPerSecond};
	let omitted: Partial<Record<Allowance, number>> = {};
	let total = 0;
	timer.subscribe(periodMs, () => {
		const dropped = takeDropped();
		total += dropped;
		left = {...linesPerSecond};
		if (Object.keys(omitted).length > 0 || dropped > 0) {
			log.write({
				part: LogPart.Stop, level: 'warn', text: 'lines left out', fields: {...omitted, dropped},
			});
		}

		omitted = {};
	});

	return {
		write(line) {
			if (linesPerSecond[line.level] === 0) {
				return;
			}

			const allowance: Allowance = line.request === undefined ? 'state' : line.level;
			if (left[allowance] <= 0) {
				omitted[allowance] = (omitted[allowance] ?? 0) + 1;
				total += 1;
				return;
			}

			left[allowance] -= 1;
			log.write(line);
		},
		close: async () => log.close(),
		omitted: () => total,
	};
}
