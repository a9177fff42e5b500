/*
The load driver's record of a request.
*/

export enum Ending {
	/** The answer was complete and valid. */
	Whole = 'whole',
	/** The answer had another status than 200. */
	Refused = 'refused',
	/** The connection failed before the end of the answer. */
	Broken = 'broken',
	/** The stream ended without a connection error, but the answer failed its validation. */
	Wrong = 'wrong',
	/** The load ended before the request did. */
	Unfinished = 'unfinished',
}

export type RequestRecord = {
	workspace: string;
	/** Base URL of the last attempt. */
	entry: string;
	inputTokens: number;
	/** Output tokens received. */
	outputTokens: number;
	/** Start of the first attempt. All times are in milliseconds since the start of the load. */
	sentMs: number;
	/** First byte of a 200 answer; NaN when none arrived. */
	firstByteMs: number;
	/** End of the last attempt; NaN while none has ended. */
	endMs: number;
	/** HTTP status of the last attempt; 0 when no answer arrived. */
	status: number;
	ending: Ending;
	/** `kind` of a refusal, fault of an invalid answer or code of a connection error; '' for other endings. */
	fault: string;
	/** `outcome` of a refusal (`not-run`, `ran`, `unknown`); '' when it has none and for other endings. */
	outcome: string;
	/** Attempts ended so far, the first included. */
	attempts: number;
};

export function isRefusal({ending}: RequestRecord): boolean {
	return ending === Ending.Refused;
}

/** Whether the request failed, except with status 429 (full queue). */
export function isFailure({ending, status}: RequestRecord): boolean {
	if (ending === Ending.Refused) {
		return status !== 429;
	}

	return ending === Ending.Broken || ending === Ending.Wrong;
}

/** Counts the records by ending, with the fault if there is one, for example `refused: no-capacity`. */
export function countEndings(records: RequestRecord[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {ending, fault} of records) {
		const name = fault === '' ? ending : `${ending}: ${fault}`;
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
