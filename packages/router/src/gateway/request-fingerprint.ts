/*
Fingerprint of a caller's request: what is the same when the caller sends it again under a new id. Its headers are left out, since
ids, deadlines and keys change between repeats; the workspace is added by the core.
*/
import type {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';

export type FingerprintInput = {
	method: string;
	host: string;
	/** Path with the query. */
	url: string;
	body: Buffer | undefined;
};

/** Length of a fingerprint in characters of 6 bits each: 96 bits, so that different requests don't share one by chance. */
const fingerprintLength = 16;

/** Computes the fingerprint of a request, in base64url. */
export function computeFingerprint({method, host, url, body}: FingerprintInput): string {
	const hash = createHash('sha256').update(JSON.stringify([method, host, url]));
	if (body) {
		hash.update(body);
	}

	return hash.digest('base64url').slice(0, fingerprintLength);
}
