/*
Writes log lines to a file descriptor without ever waiting for its reader. Lines are gathered and written together; when the
reader is slower than the lines come, new lines are dropped and counted.
*/
import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';
import process from 'node:process';
import {Writable} from 'node:stream';

export type LogPipe = {
	stream: Writable;
	/** Lines dropped since this was last asked. */
	takeDropped(): number;
	/** Writes what is left, waiting for the reader: for the end of the process only. */
	flush(): void;
};

export type LogPipeOptions = {
	descriptor: number;
	/** Bytes that may wait for the reader. */
	waitingBytes: number;
	/** Time for which lines are gathered, in milliseconds. */
	gatherMs: number;
};

export const logPipeDefaults: LogPipeOptions = {descriptor: process.stdout.fd, waitingBytes: 1024 * 1024, gatherMs: 50};

/** Creates the pipe. */
export function createLogPipe(options: Partial<LogPipeOptions> = {}): LogPipe {
	const {descriptor, waitingBytes, gatherMs} = {...logPipeDefaults, ...options};
	let waiting: Buffer[] = [];
	let size = 0;
	let dropped = 0;
	let timer: NodeJS.Timeout | undefined;
	let isWriting = false;

	function schedule() {
		timer ??= setTimeout(send, gatherMs);
	}

	function send() {
		timer = undefined;
		if (isWriting || waiting.length === 0) {
			return;
		}

		const bytes = Buffer.concat(waiting);
		waiting = [];
		isWriting = true;
		write(descriptor, bytes, (error, written) => {
			isWriting = false;
			const rest = error?.code === 'EAGAIN' ? bytes : bytes.subarray(error ? bytes.length : written);
			size -= bytes.length - rest.length;
			if (rest.length > 0) {
				waiting.unshift(rest);
			}

			if (waiting.length > 0) {
				schedule();
			}
		});
	}

	return {
		stream: new Writable({
			decodeStrings: true,
			write(line: Buffer, _encoding, done) {
				if (size + line.length > waitingBytes) {
					dropped += 1;
				} else {
					waiting.push(line);
					size += line.length;
					schedule();
				}

				done();
			},
		}),
		takeDropped() {
			const count = dropped;
			dropped = 0;
			return count;
		},
		flush() {
			clearTimeout(timer);
			try {
				for (const line of waiting) {
					writeSync(descriptor, line);
				}
			} catch {
				// The reader is gone or full, and the process ends: nobody is left to tell.
			}

			waiting = [];
		},
	};
}
