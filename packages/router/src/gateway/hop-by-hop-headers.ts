/*
Removes hop-by-hop headers: they apply to one connection only and are forwarded in neither direction.
*/

const hopByHopHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length', 'http2-settings',
]);

/** Header names that a Connection header lists. */
function parseConnectionOptions(connection: string): string[] {
	return connection.toLowerCase().split(',').map(name => name.trim()).filter(name => name !== '');
}

/** Returns a caller's headers, as alternating names and values, without hop-by-hop headers. */
export function filterRequestHeaders(rawHeaders: string[]): string[] {
	const pairs: Array<[string, string]> = [];
	const excluded = new Set(hopByHopHeaders);
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const [name, value] = [rawHeaders[index]!, rawHeaders[index + 1]!];
		pairs.push([name, value]);
		if (name.toLowerCase() === 'connection') {
			for (const option of parseConnectionOptions(value)) {
				excluded.add(option);
			}
		}
	}

	return pairs.filter(([name]) => !excluded.has(name.toLowerCase())).flat();
}

/** Returns a target's headers for the caller, without hop-by-hop headers. */
export function filterAnswerHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string | string[]> {
	const excluded = new Set([...hopByHopHeaders, ...parseConnectionOptions(String(headers.connection ?? ''))]);
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !excluded.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
}
