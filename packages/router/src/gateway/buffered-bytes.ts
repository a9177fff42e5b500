/*
Accounts for the bytes of requests and answers that are buffered, against the budget of the core. Each exchange states what its parts hold
now, never a difference, and all of it is given back when the exchange or its connection ends.
*/
import {fitsAnswers, fitsRequest, type BufferBudget} from '@shallotloom/core/gateway/buffer-budget.ts';

/** Part of an exchange that holds bytes. */
export enum BufferedPart {
	Request = 'request',
	/** An answer, or the events of one, that can't be written yet. */
	Answer = 'answer',
	/** What has been written to the caller and waits in its connection. */
	Unsent = 'unsent',
}

/** What one exchange holds. */
export type BufferHold = {
	/** Sets the bytes of the request if they fit, or returns false. */
	tryHoldRequest(bytes: number): boolean;
	/** Sets the bytes of a part, which are held whether or not they fit. */
	set(part: BufferedPart.Answer | BufferedPart.Unsent, bytes: number): void;
	/** Whether an answer may be buffered until it is complete. */
	fitsAnswer(): boolean;
	/** Gives everything back; what is set later has no effect. */
	release(): void;
};

export type BufferedBytes = {
	/** Bytes that all exchanges hold. */
	readonly total: number;
	readonly budget: BufferBudget;
	createHold(): BufferHold;
};

/** Creates the account of an instance. `budget` is read at each decision, since settings change it. */
export function createBufferedBytes(budget: BufferBudget): BufferedBytes {
	let total = 0;

	function createHold(): BufferHold {
		const parts: Record<BufferedPart, number> = {[BufferedPart.Request]: 0, [BufferedPart.Answer]: 0, [BufferedPart.Unsent]: 0};
		let isReleased = false;

		function set(part: BufferedPart, bytes: number) {
			if (!isReleased) {
				total += bytes - parts[part];
				parts[part] = bytes;
			}
		}

		return {
			tryHoldRequest(bytes) {
				const fits = fitsRequest(budget, bytes, total - parts[BufferedPart.Request]);
				if (fits) {
					set(BufferedPart.Request, bytes);
				}

				return fits;
			},
			set,
			fitsAnswer: () => fitsAnswers(budget, total),
			release() {
				for (const part of Object.values(BufferedPart)) {
					set(part, 0);
				}

				isReleased = true;
			},
		};
	}

	return {
		get total() {
			return total;
		},
		budget,
		createHold,
	};
}
