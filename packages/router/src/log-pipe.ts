/*
Writes log lines to a file descriptor without blocking on its reader. Lines are buffered and written in batches; when the
reader is too slow and the buffer is full, new lines are dropped and counted.
*/
import {Buffer} from 'node:buffer';
import {write, writeSync} from 'node:fs';
import process from 'node:process';
import {Writable} from 'node:stream';

export type LogPipe = {
	stream: Writable;
	/** Returns the number of lines dropped since the last call, and resets it. */
	takeDroppedCount(): number;
	/** Writes the buffered lines synchronously. It may block, so call it only when the process exits. */
	flush(): void;
};

export type LogPipeOptions = {
	descriptor: number;
	/** Buffer size; lines that don't fit are dropped. */
	maxBufferedBytes: number;
	/** Time from the first buffered line to the write of the batch. */
	batchDelayMs: number;
};

export const defaultLogPipeOptions: LogPipeOptions = {descriptor: process.stdout.fd, maxBufferedBytes: 1024 * 1024, batchDelayMs: 50};

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
				// The reader is gone or too slow. The process is exiting, so there is nowhere left to report it.
			}

			buffered = [];
		},
	};
}
