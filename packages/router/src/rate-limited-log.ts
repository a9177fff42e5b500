/*
Limits the lines per second of a log. Each level has an allowance of its own, so that under load the lines of served calls
(`info`) don't crowd out those of failed and refused calls. Lines about no call, such as a stop or a lost dependency, have a
separate allowance and are written however many calls there are. At most one line per second reports how many lines were omitted.
*/
import {LogPart} from '@shallotloom/core/ports.ts';
import type {Log, LogLevel} from './log.ts';
import type {Timer} from './timer.ts';

export type RateLimitedLog = Log & {
	/** Lines omitted so far, including those that the destination dropped. */
	getOmittedCount(): number;
};

/** Allowance that a line counts against: `state` for lines without a request, else the line's level. */
export type Allowance = LogLevel | 'state';

export type RateLimitedLogOptions = {
	log: Log;
	timer: Timer;
	/** Returns the number of lines that the destination dropped since the last call, and resets it. */
	takeDroppedCount: () => number;
	/** Lines per second, by allowance; lines of a level whose allowance is 0 are discarded without being counted. */
	linesPerSecond: Record<Allowance, number>;
};

/** In total at most 120 lines per second and instance, about 35 KB/s. */
export const defaultLinesPerSecond: Record<Allowance, number> = {
	error: 20, warn: 30, info: 30, debug: 0, state: 40,
};

const periodMs = 1000;

export function createRateLimitedLog({log, timer, takeDroppedCount, linesPerSecond}: RateLimitedLogOptions): RateLimitedLog {
	let left = {...linesPerSecond};
	let omitted: Partial<Record<Allowance, number>> = {};
	let total = 0;
	timer.subscribe(periodMs, () => {
		const dropped = takeDroppedCount();
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
		getOmittedCount: () => total,
	};
}
