/*
Redacts keys from texts before they are logged. It recognizes bearer and basic credentials, authorization headers, and fields
or headers whose name ends in key, token, secret or password.
*/

const replacement = '[redacted]';

const patterns: ReadonlyArray<[pattern: RegExp, replacement: string]> = [
	[/\b(?<scheme>bearer|basic)\s+[^\s"',;]+/giv, `$<scheme> ${replacement}`],
	// Quoted values, as in JSON, may contain spaces.
	[/(?<name>(?:key|token|secret|password)["']?\s*[:=]\s*)(?<quote>["'])(?:\\.|(?!\k<quote>).)*\k<quote>/giv, `$<name>$<quote>${replacement}$<quote>`],
	[/(?<name>(?:key|token|secret|password)["']?\s*[:=]\s*)[^\s"',;\}]+/giv, `$<name>${replacement}`],
	[/(?<name>\bauthorization["']?\s*[:=]\s*["']?)(?!bearer|basic)[^\s"',;\}]+/giv, `$<name>${replacement}`],
];

/**
Replaces every key in a text with `[redacted]`.

@example
```
redact('authorization: Bearer abc'); // 'authorization: Bearer [redacted]'
```
*/
export function redact(text: string): string {
	let redacted = text;
	for (const [pattern, substitute] of patterns) {
		redacted = redacted.replaceAll(pattern, substitute);
	}

	return redacted;
}
