/*
Bounds the rate of a log. Under load the failed and refused calls are written before the served ones, and lines about no call, such
as a stop or a lost dependency, whatever the calls: each of these has an allowance of its own. One line a second says how many
lines were left out.
*/
import {LogPart} from '@shallotloom/core/ports.ts';
import type {Log, LogLevel} from './log.ts';
import type {Timer} from './timer.ts';

export type RateLimitedLog = Log & {
	/** Lines left out so far. */
	getOmittedCount(): number;
};

/** What a line counts against: `state` for lines about no request, its level for others. */
export type LineClass = LogLevel | 'state';

export type RateLimitedLogOptions = {
	log: Log;
	timer: Timer;
	/** Lines that the destination dropped since it was last asked. */
	takeDroppedCount: () => number;
	/** Lines a second, by allowance; a level that has none is not written at all. */
	linesPerSecond: Record<LineClass, number>;
};

/** At most 120 lines a second and instance: some 35 KB/s, when all happens at once. */
export const defaultLinesPerSecond: Record<LineClass, number> = {
	error: 20, warn: 30, info: 30, debug: 0, state: 40,
};

const intervalMs = 1000;

/** Creates the bounded log. */
export function createRateLimitedLog({log, timer, takeDroppedCount, linesPerSecond}: RateLimitedLogOptions): RateLimitedLog {
	let remaining = {...linesPerSecond};
	let omitted: Partial<Record<LineClass, number>> = {};
	let totalOmitted = 0;
	timer.subscribe(intervalMs, () => {
		const dropped = takeDroppedCount();
		totalOmitted += dropped;
		remaining = {...linesPerSecond};
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

			const lineClass: LineClass = line.request === undefined ? 'state' : line.level;
			if (remaining[lineClass] <= 0) {
				omitted[lineClass] = (omitted[lineClass] ?? 0) + 1;
				totalOmitted += 1;
				return;
			}

			remaining[lineClass] -= 1;
			log.write(line);
		},
		close: async () => log.close(),
		getOmittedCount: () => totalOmitted,
	};
}
