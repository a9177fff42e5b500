/*
Zod fields shared by the schemas: IP addresses, durations, names and hashes. Where zod's own message would be too general,
the field carries the text that a problem shows as the expected value.
*/
import {isIP} from 'node:net';
import {z} from 'zod';

const maxPort = 65_535;

/** IPv4 or IPv6 address. */
export function ipAddress() {
	return z.string().refine(value => isIP(value) !== 0, 'an IP number such as 127.0.2.1');
}

/** IP address and port, such as `127.0.2.1:8080` or `[::1]:8080`. */
export function socketAddress() {
	return z.string().refine(value => isSocketAddress(value), 'an IP number with a port, such as 127.0.2.1:8080');
}

/** Base URL with an IP address as its host, without a path. */
export function baseUrl() {
	return z.string().refine(value => isBaseUrl(value), 'a URL by IP number without a path, such as http://127.0.0.1:9000');
}

/** Duration in milliseconds, above 0. */
export function milliseconds() {
	return z.int().positive();
}

export function positiveInteger() {
	return z.int().positive();
}

/** SHA-256 hash of 64 hex digits in lower case. */
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
	return isIP(six ?? four ?? '') === (six === undefined ? 4 : 6) && Number(port) > 0 && Number(port) <= maxPort;
}

function isBaseUrl(value: string): boolean {
	const match = /^https?:\/\/(?<address>.+)$/v.exec(value);
	const address = match?.groups?.address ?? '';
	return isSocketAddress(address) || isIP(address) === 4;
}
