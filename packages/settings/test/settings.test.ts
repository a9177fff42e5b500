import {Standing} from '@shallotloom/core/configuration.ts';
import {Discipline} from '@shallotloom/core/limits.ts';
import {loadSettings, parseSettings} from '../src/load.ts';
import {describeProblems} from '../src/problems.ts';
import {releaseNoteSchema, computeSha256} from '../src/release-note.ts';
import {checkRouterSettings, routerSettingsSchema} from '../src/router-settings.ts';

const minimal = `
router: {id: suva-1, failureDomain: suva}
listen: {callers: "127.0.2.1:8080", peers: "127.0.2.1:8081", operators: "127.0.2.1:8082"}
platform: {url: "http://127.0.0.1:9000"}
`;

test('omitted options get their defaults', () => {
	const result = parseSettings(routerSettingsSchema, minimal);
	expect(result).toMatchObject({
		kind: 'ok',
		settings: {
			advertise: {callers: 'http://127.0.2.1:8080', peers: 'http://127.0.2.1:8081'},
			platform: {callTimeoutMs: 2000},
			operators: [],
			lease: {durationMs: 6000, renewMs: 2000},
			fairness: {exchange: true, discipline: Discipline.Fair},
			stop: {graceMs: 120_000},
		},
	});
});

test.each([
	['listen: {callers: "localhost:8080"}', 'listen.callers is "localhost:8080", expected an IP number with a port, such as 127.0.2.1:8080'],
	['lease: {durationMS: 6000}', 'lease.durationMS: unknown key; did you mean "durationMs"?'],
	['stopp: {}', 'stopp: unknown key; did you mean "stop"?'],
	['colour: {}', 'colour: unknown key'],
	['control: {tickMs: 1.5}', 'control.tickMs is 1.5, expected a whole number'],
	['limits: {bodyBytes: 0}', 'limits.bodyBytes is 0, expected more than 0'],
	['fairness: {discipline: lifo}', 'fairness.discipline is "lifo", expected one of "fair", "fifo", "bound"'],
	['operators: [{name: duty, keyHash: plain-secret}]', 'operators[0].keyHash is "hidden", expected a SHA-256 hash of 64 hex digits in lower case'],
	['bindAddress: suva', 'bindAddress is "suva", expected an IP number such as 127.0.2.1'],
	['log: json', 'log is "json", expected a mapping'],
])('%s is refused', (line, message) => {
	const result = parseSettings(routerSettingsSchema, line);
	expect(result.kind).toBe('invalid');
	expect(result.kind === 'ok' ? '' : describeProblems(result.problems)).toContain(message);
});

test('a short unknown key gets no suggestion when no known key is similar', () => {
	const result = parseSettings(routerSettingsSchema, 'bogus: {}');
	expect(result.kind === 'ok' ? [] : result.problems.at(-1)).toEqual({path: 'bogus', value: undefined, expected: 'a known key'});
});

test('a failed cross-field check names the option to change', () => {
	const result = parseSettings(routerSettingsSchema, `${minimal}lease: {renewMs: 3000}\n`);
	expect(result).toMatchObject({kind: 'invalid', problems: [{path: 'lease.renewMs', value: 3000, expected: 'less than half of lease.durationMs'}]});
});

test('a missing option is reported with its path', () => {
	const result = parseSettings(routerSettingsSchema, 'router: {id: suva-1}');
	expect(result.kind === 'ok' ? '' : describeProblems(result.problems)).toContain('router.failureDomain is missing or empty, expected a string');
});

test('a file with invalid YAML is malformed, a missing file is unreadable', async () => {
	expect(parseSettings(routerSettingsSchema, 'a: [').kind).toBe('malformed');
	expect(await loadSettings(routerSettingsSchema, '/nonexistent/router.yaml')).toMatchObject({kind: 'unreadable', problems: [{value: '/nonexistent/router.yaml'}]});
	expect(await checkRouterSettings('/nonexistent/router.yaml')).toMatchObject({exitCode: 2});
});

test('a parsed note contains the hash of a workspace key, not the key', () => {
	const key = 'key-of-the-ba-college';
	const result = parseSettings(releaseNoteSchema, `
added: {workspaces: [{id: ba, key: ${key}}]}
changed: {workspaces: [{id: nadi, key: ${key}}]}`);
	expect(result).toEqual({
		kind: 'ok',
		settings: {
			added: {
				workspaces: [{
					id: 'ba', weight: 1, keyHash: computeSha256(key), queueLimit: 2_000_000,
				}],
			},
			changed: {workspaces: [{id: 'nadi', keyHash: computeSha256(key)}]},
		},
	});
	expect(JSON.stringify(result)).not.toContain(key);
});

test('a key below the minimum length is refused and not printed', () => {
	const result = parseSettings(releaseNoteSchema, 'added: {workspaces: [{id: ba, key: short-secret}]}');
	expect(result.kind).toBe('invalid');
	expect(JSON.stringify(result)).not.toContain('short-secret');
});

test('a change contains only the fields given in the note', () => {
	const result = parseSettings(releaseNoteSchema, `
changed:
  targets: [{id: engine-1, warmBudget: 4}]
  failureDomains: [{name: suva, standing: out}]`);
	expect(result).toEqual({
		kind: 'ok',
		settings: {changed: {targets: [{id: 'engine-1', warmBudget: 4}], failureDomains: [{name: 'suva', standing: Standing.Out}]}},
	});
});

test.each(['added: {workspaces: [{id: ba}]}', 'added: {zones: []}', 'changed: {failureDomains: [{name: suva}]}', 'withdrawn: {targets: [{id: x}]}'])('note %s is refused', text => {
	expect(parseSettings(releaseNoteSchema, text).kind).toBe('invalid');
});
