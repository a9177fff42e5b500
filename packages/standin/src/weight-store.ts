/*
Weight store: files of zeros whose download shares one rate.
*/
import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';

export type WeightStore = {
	/** Answers with the whole file, at the rate that is left. */
	download(response: ServerResponse): void;
	/** Bytes sent so far over all downloads. */
	sentBytes(): number;
	/** Ends the timer; open downloads stay unfinished. */
	stop(): void;
};

export type WeightStoreOptions = {weightBytesPerSecond: number; weightBytes: number};

const tickMs = 50;

/** Creates a weight store; its timer runs only while a download is open. */
export function createWeightStore({weightBytesPerSecond, weightBytes}: WeightStoreOptions): WeightStore {
	const downloads = new Map<ServerResponse, number>();
	let sent = 0;
	let timer: NodeJS.Timeout | undefined;

	function tick() {
		const share = Math.ceil(weightBytesPerSecond * tickMs / 1000 / downloads.size);
		for (const [response, left] of downloads) {
			const size = Math.min(share, left);
			response.write(Buffer.alloc(size));
			sent += size;
			downloads.set(response, left - size);
			if (left === size) {
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
		sentBytes: () => sent,
		stop() {
			clearInterval(timer);
			timer = undefined;
		},
	};
}
