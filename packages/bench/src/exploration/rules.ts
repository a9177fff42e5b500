/*
What must hold whatever happens to a fleet: the users' rules that count over all instances. The fleet tells what it sees; a
rule that is broken leaves a fault.
*/

/** Requests a second that a cold target takes, and what the users' rule allows beyond: 1.5 times that and 5. */
export const coldPerSecond = 16;
const allowedColdPerSecond = (coldPerSecond * 1.5) + 5;

/** The users' rule for requests that are sent again: this part of a pool's calls and so many more, in any window. */
const retryRatio = 0.2;
const retryExtra = 56;
const retryWindowMs = 10_000;

const second = 1000;

/** What the rules count of a call. */
export type WatchedCall = {
	id: string;
	/** Sends that a target may have run, and all that targets took. */
	ran: number;
	taken: number;
	finals: number;
};

export type Rules = {
	/** What was broken, first break first. */
	faults: string[];
	fault(text: string): void;
	/** A caller asks for a call of a pool. */
	onArrival(pool: string): void;
	/** A call gets a final answer. */
	onFinal(call: WatchedCall): void;
	/** A target takes a send; `taken` counts it already. */
	onTaken(call: WatchedCall, send: {pool: string; target: string; maxAttempts: number}): void;
	/** No connection was made for a send, so the target never took it. */
	onNotTaken(call: WatchedCall, send: {pool: string; at: number}): void;
	/** A target starts and is cold for a time, in milliseconds. */
	onTargetStart(target: string, coldMs: number): void;
};

/** Creates the rules. */
export function createRules(now: () => number): Rules {
	const faults: string[] = [];
	const coldUntil = new Map<string, number>();
	const coldArrivals = new Map<string, number[]>();
	const counts = new Map<string, {calls: number[]; resends: number[]}>();

	function fault(text: string) {
		faults.push(`${now()}: ${text}`);
	}

	function countsOf(pool: string) {
		const known = counts.get(pool) ?? {calls: [], resends: []};
		counts.set(pool, known);
		return known;
	}

	function checkRetries(pool: string) {
		const {calls, resends} = countsOf(pool);
		const recent = (times: number[]) => times.filter(at => at > now() - retryWindowMs).length;
		const allowed = (retryRatio * recent(calls)) + retryExtra;
		const made = recent(resends);
		if (made > allowed) {
			fault(`${made} sends again to ${pool}, ${allowed} are allowed`);
		}
	}

	function checkCold(target: string) {
		if (now() >= (coldUntil.get(target) ?? 0)) {
			return;
		}

		const times = [...(coldArrivals.get(target) ?? []), now()].filter(at => at > now() - second);
		coldArrivals.set(target, times);
		if (times.length > allowedColdPerSecond) {
			fault(`${target} is cold and gets ${times.length} requests in a second`);
		}
	}

	return {
		faults,
		fault,
		onArrival(pool) {
			countsOf(pool).calls.push(now());
		},
		onFinal(call) {
			call.finals += 1;
			if (call.finals > 1) {
				fault(`${call.id} has ${call.finals} final answers`);
			}
		},
		onTaken({id, taken}, {pool, target, maxAttempts}) {
			if (taken > maxAttempts) {
				fault(`${id} is sent to ${taken} targets`);
			}

			if (taken > 1) {
				countsOf(pool).resends.push(now());
			}

			checkRetries(pool);
			checkCold(target);
		},
		onNotTaken({taken}, {pool, at}) {
			const {resends} = countsOf(pool);
			const index = resends.indexOf(at);
			if (taken > 1 && index !== -1) {
				resends.splice(index, 1);
			}
		},
		onTargetStart(target, coldMs) {
			coldUntil.set(target, now() + coldMs);
			// The rule is for one start of a target.
			coldArrivals.delete(target);
		},
	};
}
