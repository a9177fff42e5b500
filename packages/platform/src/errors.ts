/*
Errors of the platform layer: what can go wrong between this process and the Object API, and what each says to a reader
of the log.
*/
import {match} from 'ts-pattern';

export type PlatformError
	/** Refused before it took effect: connection refused, outage or rate limit. `status` is 0 without an HTTP answer. */
	= | {kind: 'unavailable'; status: number}
	/** No answer came; a write may have taken effect. */
		| {kind: 'unanswered'; cause: string}
	/** The platform no longer keeps the changes that a watch asked for; the watch lists again. */
		| {kind: 'historyLost'}
	/** The answer doesn't follow the protocol. */
		| {kind: 'malformed'; status: number};

/** One line for the log. */
export function describePlatformError(error: PlatformError): string {
	return match(error)
		.with({kind: 'unavailable', status: 0}, () => 'Object API refused the connection')
		.with({kind: 'unavailable'}, ({status}) => `Object API refused the call with status ${status}`)
		.with({kind: 'unanswered'}, ({cause}) => `Object API gave no answer: ${cause}`)
		.with({kind: 'historyLost'}, () => 'Object API no longer keeps the changes since the last watch')
		.with({kind: 'malformed'}, ({status}) => `Object API gave an answer that could not be read, status ${status}`)
		.exhaustive();
}
