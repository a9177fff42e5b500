/*
Headers that concern one connection only and are passed on in neither direction.
*/

const connectionHeaders = new Set([
	'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect', 'content-length', 'http2-settings',
]);

/** Names that a Connection header lists. */
function namedBy(connection: string): string[] {
	return connection.toLowerCase().split(',').map(name => name.trim()).filter(name => name !== '');
}

/** A caller's headers, as names and values in turn, without those of its connection. */
export function requestHeaders(rawHeaders: string[]): string[] {
	const pairs: Array<[string, string]> = [];
	const dropped = new Set(connectionHeaders);
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		const [name, value] = [rawHeaders[index]!, rawHeaders[index + 1]!];
		pairs.push([name, value]);
		if (name.toLowerCase() === 'connection') {
			for (const named of namedBy(value)) {
				dropped.add(named);
			}
		}
	}

	return pairs.filter(([name]) => !dropped.has(name.toLowerCase())).flat();
}

/** A target's headers for the caller, without those of its connection. */
export function answerHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string | string[]> {
	const dropped = new Set([...connectionHeaders, ...namedBy(String(headers.connection ?? ''))]);
	const kept: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !dropped.has(name)) {
			kept[name] = value;
		}
	}

	return kept;
}
