/*
Running estimates for a pool, from the answers that this instance receives: prefill speed, time to a first byte, and time that a
call without a prompt takes.
*/
import {getOrCreatePoolEstimates, type Gateway} from './gateway.ts';
import type {Call} from './rows.ts';

/** Weight of a new sample in the exponential moving averages. */
const sampleWeight = 0.05;

/** Minimum uncached tokens of a call from which the prefill speed is measured. */
const minPrefillSampleTokens = 2000;

/** Factor by which the shortest time to a first byte rises with each sample, so that it follows a lasting change. */
const minFirstByteDriftFactor = 1.002;

/** Updates the estimates by the first byte of an answer. `prefillBacklogTokens`: backlog of its target before that byte. */
export function updatePoolEstimates(gateway: Gateway, call: Call, prefillBacklogTokens: number) {
	const estimates = getOrCreatePoolEstimates(gateway, call.pool);
	const tookMs = gateway.now - call.sentAt;
	if (!call.prompt) {
		estimates.meanWorkMs = estimates.meanWorkMs === 0 ? tookMs : estimates.meanWorkMs + (sampleWeight * (tookMs - estimates.meanWorkMs));
		return;
	}

	estimates.minFirstByteMs = estimates.minFirstByteMs === 0 ? tookMs : Math.min(tookMs, estimates.minFirstByteMs * minFirstByteDriftFactor);
	const prefillMs = tookMs - estimates.minFirstByteMs;
	// The speed can only be measured by a call whose prompt was alone in the prefill backlog.
	if (call.uncachedTokens >= minPrefillSampleTokens && prefillBacklogTokens === call.uncachedTokens && prefillMs > 0) {
		const sample = call.uncachedTokens / prefillMs;
		estimates.prefillTokensPerMs = estimates.prefillTokensPerMs === 0 ? sample : estimates.prefillTokensPerMs + (sampleWeight * (sample - estimates.prefillTokensPerMs));
	}
}
