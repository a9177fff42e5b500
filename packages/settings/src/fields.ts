/*
Fields that the schemas share: addresses by IP number, durations, hashes. Each carries its expectation in words.
*/
import {isIP} from 'node:net';
import {z} from 'zod';

const lastPort = 65_535;

/** IP number, version 4 or 6. */
export function ipNumber() {
	return z.string().refine(value => isIP(value) !== 0, 'an IP number such as 127.0.2.1');
}

/** IP number and port, such as `127.0.2.1:8080` or `[::1]:8080`. */
export function socketAddress() {
	return z.string().refine(value => isSocketAddress(value), 'an IP number with a port, such as 127.0.2.1:8080');
}

/** Base URL by IP number, without a path. */
export function baseUrl() {
	return z.string().refine(value => isBaseUrl(value), 'a URL by IP number without a path, such as http://127.0.0.1:9000');
}

/** Duration in milliseconds, above 0. */
export function milliseconds() {
	return z.int().positive();
}

/** Number of things, above 0. */
export function count() {
	return z.int().positive();
}

/** SHA-256 in hex. */
export function sha256Hex() {
	return z.string().regex(/^[\da-f]{64}$/v, 'a SHA-256 hash of 64 hex digits in lower case');
}

/** Name of an instance, a failure domain, a workspace or a target. */
export function entityName() {
	return z.string().regex(/^[a-z\d][\w.\-]{0,62}$/iv, 'a name of up to 63 letters, digits, ".", "_" and "-"');
}

function isSocketAddress(value: string): boolean {
	const match = /^(?:\[(?<six>[\da-f:.]+)\]|(?<four>[\d.]+)):(?<port>\d{1,5})$/iv.exec(value);
	if (!match?.groups) {
		return false;
	}

	const {six, four, port} = match.groups;
	return isIP(six ?? four ?? '') === (six === undefined ? 4 : 6) && Number(port) > 0 && Number(port) <= lastPort;
}

function isBaseUrl(value: string): boolean {
	const match = /^https?:\/\/(?<address>.+)$/v.exec(value);
	const address = match?.groups?.address ?? '';
	return isSocketAddress(address) || isIP(address) === 4;
}
