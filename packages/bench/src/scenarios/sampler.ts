/*
Samples something at a fixed interval while a load runs.
*/

export type Sample<Value> = {
	/** Milliseconds since the sampling started. */
	atMs: number;
	value: Value;
};

export type Sampler<Value> = {
	samples: Array<Sample<Value>>;
	/** Stops sampling, after the sample under way. */
	stop: () => Promise<void>;
};

/** Starts sampling; a sample that fails is left out. Samples never overlap. */
export function startSampler<Value>(everyMs: number, read: () => Promise<Value>): Sampler<Value> {
	const samples: Array<Sample<Value>> = [];
	const start = performance.now();
	let underWay: Promise<void> | undefined;

	const sample = async () => {
		const atMs = performance.now() - start;
		try {
			samples.push({atMs, value: await read()});
		} catch {
			// A stand-in that restarts answers nothing for a moment.
		} finally {
			underWay = undefined;
		}
	};

	const timer = setInterval(() => {
		underWay ??= sample();
	}, everyMs);
	return {
		samples,
		async stop() {
			clearInterval(timer);
			await underWay;
		},
	};
}
