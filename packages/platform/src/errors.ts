/*
Errors of calls to the Object API and the instance list, and their log texts.
*/
import {match} from 'ts-pattern';

export type PlatformError
	/** Refused before the call took effect: no connection, outage or rate limit. `status` is 0 without an HTTP response. */
	= | {kind: 'unavailable'; status: number}
	/** No response arrived; a write may have taken effect. */
		| {kind: 'unanswered'; cause: string}
	/** The platform has discarded changes that a watch requested; the watch has to list the objects again. */
		| {kind: 'historyLost'}
	/** The response violates the protocol. */
		| {kind: 'malformed'; status: number};

/** Formats an error as one line for the log. */
export function describePlatformError(error: PlatformError): string {
	return match(error)
		.with({kind: 'unavailable', status: 0}, () => 'Object API refused the connection')
		.with({kind: 'unavailable'}, ({status}) => `Object API refused the call with status ${status}`)
		.with({kind: 'unanswered'}, ({cause}) => `no response from the Object API: ${cause}`)
		.with({kind: 'historyLost'}, () => 'Object API has discarded the changes since the last watch')
		.with({kind: 'malformed'}, ({status}) => `malformed response from the Object API with status ${status}`)
		.exhaustive();
}
