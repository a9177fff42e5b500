/*
Invariants of a fleet: the users' rules that apply to all instances together. The fleet reports events to the rules, and each
violation is recorded as a fault.
*/

/** Configured requests per second to a cold target, and the most that the users' rule allows: 1.5 times that plus 5. */
export const coldPerSecond = 16;
const allowedColdPerSecond = (coldPerSecond * 1.5) + 5;

/** The users' rule for resends: in any window, at most this fraction of a pool's calls plus a constant number. */
const allowedRetryFraction = 0.2;
const allowedExtraRetries = 56;
const retryWindowMs = 10_000;

const secondMs = 1000;

/** Counts of a call that the rules check. */
export type WatchedCall = {
	id: string;
	/** Number of sends that a target may have run, and of all sends that targets accepted and haven't refused. */
	possibleRuns: number;
	acceptedSends: number;
	finalAnswers: number;
};

export type Rules = {
	/** Violations, oldest first, each with the simulated time in milliseconds. */
	faults: string[];
	reportFault(text: string): void;
	/** A call for a pool arrives. */
	onArrival(pool: string): void;
	/** A caller receives a final answer. */
	onFinalAnswer(call: WatchedCall): void;
	/** A target accepts a send, which `acceptedSends` already includes. */
	onSendAccepted(call: WatchedCall, send: {pool: string; target: string; maxAttempts: number}): void;
	/** The connection for a send at time `at` failed, so the target never accepted it. */
	onConnectionFailed(call: WatchedCall, send: {pool: string; at: number}): void;
	/** A target starts and stays cold for `coldMs`. */
	onTargetStart(target: string, coldMs: number): void;
};

export function createRules(now: () => number): Rules {
	const faults: string[] = [];
	const coldUntil = new Map<string, number>();
	const coldSendTimes = new Map<string, number[]>();
	const poolCounts = new Map<string, {calls: number[]; resends: number[]}>();

	function reportFault(text: string) {
		faults.push(`${now()}: ${text}`);
	}

	function getOrCreateCounts(pool: string) {
		const poolCount = poolCounts.get(pool) ?? {calls: [], resends: []};
		poolCounts.set(pool, poolCount);
		return poolCount;
	}

	function checkRetryBudget(pool: string) {
		const {calls, resends} = getOrCreateCounts(pool);
		const recent = (times: number[]) => times.filter(at => at > now() - retryWindowMs).length;
		const allowed = (allowedRetryFraction * recent(calls)) + allowedExtraRetries;
		const resendCount = recent(resends);
		if (resendCount > allowed) {
			reportFault(`${resendCount} resends to ${pool} within 10 s, ${allowed} are allowed`);
		}
	}

	function checkColdRate(target: string) {
		if (now() >= (coldUntil.get(target) ?? 0)) {
			return;
		}

		const times = [...(coldSendTimes.get(target) ?? []), now()].filter(at => at > now() - secondMs);
		coldSendTimes.set(target, times);
		if (times.length > allowedColdPerSecond) {
			reportFault(`${target} got ${times.length} requests within a second while cold`);
		}
	}

	return {
		faults,
		reportFault,
		onArrival(pool) {
			getOrCreateCounts(pool).calls.push(now());
		},
		onFinalAnswer(call) {
			call.finalAnswers += 1;
			if (call.finalAnswers > 1) {
				reportFault(`${call.id} has ${call.finalAnswers} final answers`);
			}
		},
		onSendAccepted({id, acceptedSends}, {pool, target, maxAttempts}) {
			if (acceptedSends > maxAttempts) {
				reportFault(`${id} was sent to ${acceptedSends} targets, more than its route allows`);
			}

			if (acceptedSends > 1) {
				getOrCreateCounts(pool).resends.push(now());
			}

			checkRetryBudget(pool);
			checkColdRate(target);
		},
		onConnectionFailed({acceptedSends}, {pool, at}) {
			const {resends} = getOrCreateCounts(pool);
			const index = resends.indexOf(at);
			if (acceptedSends > 1 && index !== -1) {
				resends.splice(index, 1);
			}
		},
		onTargetStart(target, coldMs) {
			coldUntil.set(target, now() + coldMs);
			// The limit applies to each start of a target separately.
			coldSendTimes.delete(target);
		},
	};
}
