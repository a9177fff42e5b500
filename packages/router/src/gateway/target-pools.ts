/*
Connections to targets, kept by address. A connection carries one request at a time; one whose answer is late, crossed or
cut is closed and not used again.
*/
import {Pool} from 'undici';

export type TargetPools = {
	of(address: string): Pool;
	/** Ends the connections to a target that is gone, once its answers have ended. */
	drop(address: string): void;
	close(): Promise<void>;
};

/** Time for connecting to a target, in milliseconds: well within the shortest objective's retries. */
const connectTimeoutMs = 500;

/** Idle connections are closed after this where a target doesn't say when, in milliseconds. */
const keepAliveMs = 4000;

/** Idle connections are closed so much before the target would, in milliseconds: a request must not cross its close. */
const keepAliveMarginMs = 1000;

/** Creates the pools. */
export function createTargetPools(): TargetPools {
	const pools = new Map<string, Pool>();

	return {
		of(address) {
			const known = pools.get(address);
			if (known) {
				return known;
			}

			const pool = new Pool(`http://${address}`, {
				connect: {timeout: connectTimeoutMs, noDelay: true},
				pipelining: 1,
				headersTimeout: 0,
				bodyTimeout: 0,
				keepAliveTimeout: keepAliveMs,
				keepAliveTimeoutThreshold: keepAliveMarginMs,
			});
			pools.set(address, pool);
			return pool;
		},
		drop(address) {
			const pool = pools.get(address);
			pools.delete(address);
			pool?.close().catch(() => {
				// A pool that is already destroyed has nothing to close.
			});
		},
		async close() {
			await Promise.all([...pools.values()].map(async pool => pool.destroy()));
		},
	};
}
