/*
What the load driver keeps of each request.
*/

export enum Ending {
	/** The whole answer arrived and was its own. */
	Whole = 'whole',
	/** An error answer came instead. */
	Refused = 'refused',
	/** The answer began and broke off, or never came. */
	Broken = 'broken',
	/** The answer was whole but not the one that was asked for. */
	Wrong = 'wrong',
	/** The load ended first. */
	Unfinished = 'unfinished',
}

export type RequestRecord = {
	workspace: string;
	entry: string;
	inputTokens: number;
	/** Output tokens that came. */
	outputTokens: number;
	/** Times in milliseconds from the start of the load; NaN for what never came. */
	sentMs: number;
	firstByteMs: number;
	endMs: number;
	/** HTTP status; 0 when no answer came. */
	status: number;
	ending: Ending;
	/** `kind` of a refusal, or what was wrong with the answer; '' when nothing was. */
	fault: string;
	/** `outcome` of a refusal: `not-run`, `ran`, `unknown`; '' for other endings. */
	outcome: string;
	/** Attempts, the first included. */
	attempts: number;
};

export function isRefusal({ending}: RequestRecord): boolean {
	return ending === Ending.Refused;
}

/** Whether the request failed for another reason than a full queue. */
export function isFailure({ending, status}: RequestRecord): boolean {
	if (ending === Ending.Refused) {
		return status !== 429;
	}

	return ending === Ending.Broken || ending === Ending.Wrong;
}

/** Number of records by ending, with the kind for those that are not whole. */
export function endings(records: RequestRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {ending, fault} of records) {
		const name = fault === '' ? ending : `${ending}: ${fault}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
