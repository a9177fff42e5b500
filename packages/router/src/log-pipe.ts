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
	takeDroppedCount(): number;
	/** Writes what is left, waiting for the reader: for the end of the process only. */
	flush(): void;
};

export type LogPipeOptions = {
	descriptor: number;
	/** Bytes that may wait for the reader. */
	maxBufferedBytes: number;
	/** Time for which lines are gathered, in milliseconds. */
	batchDelayMs: number;
};

export const defaultLogPipeOptions: LogPipeOptions = {descriptor: process.stdout.fd, maxBufferedBytes: 1024 * 1024, batchDelayMs: 50};

/** Creates the pipe. */
export function createLogPipe(options: Partial<LogPipeOptions> = {}): LogPipe {
	const {descriptor, maxBufferedBytes, batchDelayMs} = {...defaultLogPipeOptions, ...options};
	let buffered: Buffer[] = [];
	let bufferedBytes = 0;
	let dropped = 0;
	let batchTimer: NodeJS.Timeout | undefined;
	let isWriting = false;

	function schedule() {
		batchTimer ??= setTimeout(writeBuffered, batchDelayMs);
	}

	function writeBuffered() {
		batchTimer = undefined;
		if (isWriting || buffered.length === 0) {
			return;
		}

		const batch = Buffer.concat(buffered);
		buffered = [];
		isWriting = true;
		write(descriptor, batch, (error, written) => {
			isWriting = false;
			const unwritten = error?.code === 'EAGAIN' ? batch : batch.subarray(error ? batch.length : written);
			bufferedBytes -= batch.length - unwritten.length;
			if (unwritten.length > 0) {
				buffered.unshift(unwritten);
			}

			if (buffered.length > 0) {
				schedule();
			}
		});
	}

	return {
		stream: new Writable({
			decodeStrings: true,
			write(line: Buffer, _encoding, done) {
				if (bufferedBytes + line.length > maxBufferedBytes) {
					dropped += 1;
				} else {
					buffered.push(line);
					bufferedBytes += line.length;
					schedule();
				}

				done();
			},
		}),
		takeDroppedCount() {
			const count = dropped;
			dropped = 0;
			return count;
		},
		flush() {
			clearTimeout(batchTimer);
			try {
				for (const line of buffered) {
					writeSync(descriptor, line);
				}
			} catch {
				// The reader is gone or full, and the process ends: nobody is left to tell.
			}

			buffered = [];
		},
	};
}
