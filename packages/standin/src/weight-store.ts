/*
Weight store: files of zeros whose downloads share one byte rate.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

export type WeightStore = {
	/** Answers with a whole file; the rate is divided equally among all open downloads. */
	download(response: ServerResponse): void;
	/** Bytes sent so far in all downloads. */
	getSentBytes(): number;
	/** Stops the timer; open downloads stay unfinished. */
	stop(): void;
};

export type WeightStoreOptions = {weightBytesPerSecond: number; weightBytes: number};

const tickMs = 50;

/** Creates a weight store; its timer runs only while a download is open. */
export function createWeightStore({weightBytesPerSecond, weightBytes}: WeightStoreOptions): WeightStore {
	/** Remaining bytes of each open download. */
	const downloads = new Map<ServerResponse, number>();
	let sentBytes = 0;
	let timer: NodeJS.Timeout | undefined;

	function tick() {
		const bytesPerDownload = Math.ceil(weightBytesPerSecond * tickMs / 1000 / downloads.size);
		for (const [response, remainingBytes] of downloads) {
			const size = Math.min(bytesPerDownload, remainingBytes);
			response.write(Buffer.alloc(size));
			sentBytes += size;
			downloads.set(response, remainingBytes - size);
			if (remainingBytes === size) {
				response.end();
				remove(response);
			}
		}
	}

	function remove(response: ServerResponse) {
		downloads.delete(response);
		if (downloads.size === 0) {
			clearInterval(timer);
			timer = undefined;
		}
	}

	return {
		download(response) {
			response.writeHead(200, {'content-type': 'application/octet-stream', 'content-length': weightBytes});
			response.once('close', () => {
				remove(response);
			});
			downloads.set(response, weightBytes);
			timer ??= setInterval(tick, tickMs);
		},
		getSentBytes: () => sentBytes,
		stop() {
			clearInterval(timer);
			timer = undefined;
		},
	};
}
