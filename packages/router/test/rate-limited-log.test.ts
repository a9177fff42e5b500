import {
	closeSync, openSync, readFileSync, unlinkSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {LogPart} from '@shallotloom/core/ports.ts';
import {createRateLimitedLog} from '../src/rate-limited-log.ts';
import type {LogLine} from '../src/log.ts';
import {createLogPipe} from '../src/log-pipe.ts';

function setUp() {
	const lines: LogLine[] = [];
	const subscribers: Array<() => void> = [];
	let dropped = 0;
	const log = createRateLimitedLog({
		log: {
			write(line) {
				lines.push(line);
			},
			async close() {
				// Nothing to close.
			},
		},
		timer: {
			now: () => 0,
			subscribe(_periodMs, run) {
				subscribers.push(() => {
					run(0);
				});
				return () => {
					// Not needed by these tests.
				};
			},
			stop() {
				// Nothing to stop.
			},
		},
		takeDroppedCount() {
			const count = dropped;
			dropped = 0;
			return count;
		},
		linesPerSecond: {
			error: 1, warn: 2, info: 3, debug: 0, state: 2,
		},
	});
	return {
		lines,
		log,
		drop(count: number) {
			dropped = count;
		},
		advanceSecond() {
			for (const runSubscriber of subscribers) {
				runSubscriber();
			}
		},
	};
}

function write(log: ReturnType<typeof setUp>['log'], level: LogLine['level'], count: number) {
	for (let index = 0; index < count; index += 1) {
		log.write({
			part: LogPart.Request, level, text: `${level} ${index}`, request: `r${index}`,
		});
	}
}

test('lines of served calls don\'t use up the limit of refused calls, and omitted lines are counted', () => {
	const {log, lines, advanceSecond} = setUp();
	write(log, 'info', 10);
	write(log, 'warn', 3);
	expect(lines.map(({level}) => level)).toEqual(['info', 'info', 'info', 'warn', 'warn']);
	advanceSecond();
	expect(lines.at(-1)).toMatchObject({text: 'lines left out', fields: {info: 7, warn: 1, dropped: 0}});
	expect(log.getOmittedCount()).toBe(8);
	write(log, 'info', 1);
	expect(lines.at(-1)).toMatchObject({text: 'info 0'});
});

test('a stop is logged however many calls are logged', () => {
	const {log, lines, advanceSecond} = setUp();
	write(log, 'info', 10);
	for (const text of ['stop requested', 'platform lost', 'platform reached again']) {
		log.write({part: LogPart.Stop, level: 'info', text});
	}

	expect(lines.slice(3).map(({text}) => text)).toEqual(['stop requested', 'platform lost']);
	advanceSecond();
	expect(lines.at(-1)).toMatchObject({fields: {info: 7, state: 1}});
});

test('lines dropped because the reader was too slow are reported', () => {
	const {log, lines, advanceSecond, drop} = setUp();
	drop(4);
	advanceSecond();
	expect(lines.at(-1)).toMatchObject({fields: {dropped: 4}});
	expect(log.getOmittedCount()).toBe(4);
});

test('a pipe buffers lines, drops those that don\'t fit into its buffer, and writes the others when flushed', () => {
	const file = path.join(tmpdir(), `shallotloom-pipe-${process.pid}`);
	const descriptor = openSync(file, 'w');
	const pipe = createLogPipe({descriptor, maxBufferedBytes: 10, batchDelayMs: 60_000});
	for (const line of ['one\n', 'two\n', 'three\n']) {
		pipe.stream.write(line);
	}

	expect(pipe.takeDroppedCount()).toBe(1);
	expect(pipe.takeDroppedCount()).toBe(0);
	pipe.flush();
	expect(readFileSync(file, 'utf8')).toBe('one\ntwo\n');
	closeSync(descriptor);
	unlinkSync(file);
});
