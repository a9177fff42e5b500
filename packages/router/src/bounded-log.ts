/*
Bounds the rate of a log. Warnings and errors have an allowance of their own, so that under load the failed and refused calls
are written before the served ones. One line a second says how many lines were left out.
*/
import {LogPart} from '@shallotloom/core/ports.ts';
import type {Log, LogLevel} from './log.ts';
import type {Timer} from './timer.ts';

export type BoundedLog = Log & {
	/** Lines left out so far. */
	omitted(): number;
};

export type BoundedLogOptions = {
	log: Log;
	timer: Timer;
	/** Lines that the destination dropped since it was last asked. */
	takeDropped: () => number;
	/** Lines a second, by level. */
	linesPerSecond: Record<LogLevel, number>;
};

/** At most 80 lines a second and instance: some 25 KB/s. */
export const linesPerSecondDefaults: Record<LogLevel, number> = {
	error: 20, warn: 30, info: 30, debug: 0,
};

const periodMs = 1000;

/** Creates the bounded log. */
export function createBoundedLog({log, timer, takeDropped, linesPerSecond}: BoundedLogOptions): BoundedLog {
	let left = {...linesPerSecond};
	let omitted: Partial<Record<LogLevel, number>> = {};
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

			if (left[line.level] <= 0) {
				omitted[line.level] = (omitted[line.level] ?? 0) + 1;
				total += 1;
				return;
			}

			left[line.level] -= 1;
			log.write(line);
		},
		close: async () => log.close(),
		omitted: () => total,
	};
}
