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
				// Nothing is open.
			},
		},
		timer: {
			now: () => 0,
			subscribe(_periodMs, run) {
				subscribers.push(() => {
					run(0);
				});
				return () => {
					// Never ended in these tests.
				};
			},
			stop() {
				// Never started.
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

test('served calls never use up the lines of refused ones, and what is left out is counted', () => {
	const {log, lines, advanceSecond: second} = setUp();
	write(log, 'info', 10);
	write(log, 'warn', 3);
	expect(lines.map(({level}) => level)).toEqual(['info', 'info', 'info', 'warn', 'warn']);
	second();
	expect(lines.at(-1)).toMatchObject({text: 'lines left out', fields: {info: 7, warn: 1, dropped: 0}});
	expect(log.getOmittedCount()).toBe(8);
	write(log, 'info', 1);
	expect(lines.at(-1)).toMatchObject({text: 'info 0'});
});

test('a stop is told of, however many calls are', () => {
	const {log, lines, advanceSecond: second} = setUp();
	write(log, 'info', 10);
	for (const text of ['stop requested', 'platform lost', 'platform reached again']) {
		log.write({part: LogPart.Stop, level: 'info', text});
	}

	expect(lines.slice(3).map(({text}) => text)).toEqual(['stop requested', 'platform lost']);
	second();
	expect(lines.at(-1)).toMatchObject({fields: {info: 7, state: 1}});
});

test('lines that the reader was too slow for are told of', () => {
	const {log, lines, advanceSecond: second, drop} = setUp();
	drop(4);
	second();
	expect(lines.at(-1)).toMatchObject({fields: {dropped: 4}});
	expect(log.getOmittedCount()).toBe(4);
});

test('a pipe gathers lines, drops what is beyond its bound, and writes the rest at the end', () => {
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
