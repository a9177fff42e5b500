/*
Samples a value at a fixed interval while a load runs.
*/

export type Sample<Value> = {
	/** Milliseconds since the sampling started. */
	atMs: number;
	value: Value;
};

export type Sampler<Value> = {
	samples: Array<Sample<Value>>;
	/** Stops sampling; resolves when a pending sample has ended. */
	stop: () => Promise<void>;
};

/** Starts sampling. Failed samples are left out, and samples never overlap. */
export function startSampler<Value>(intervalMs: number, read: () => Promise<Value>): Sampler<Value> {
	const samples: Array<Sample<Value>> = [];
	const start = performance.now();
	let pendingSample: Promise<void> | undefined;

	const sample = async () => {
		const atMs = performance.now() - start;
		try {
			samples.push({atMs, value: await read()});
		} catch {
			// Stand-ins do not answer while they restart.
		} finally {
			pendingSample = undefined;
		}
	};

	const timer = setInterval(() => {
		pendingSample ??= sample();
	}, intervalMs);
	return {
		samples,
		async stop() {
			clearInterval(timer);
			await pendingSample;
		},
	};
}
