import {createServer} from 'node:net';
import {once} from 'node:events';
import {
	bundleRouter, host, minimalSettings, type Program,
} from './support/program.ts';

let program: Program;

beforeAll(async () => {
	program = await bundleRouter();
});

afterAll(async () => program.remove());

test.each([
	['fairnes: {}', 'fairnes: unknown key; did you mean "fairness"?'],
	['lease: {durationMs: soon}', 'lease.durationMs is "soon", expected a number'],
	['bindAddress: suva', 'bindAddress is "suva", expected an IP number such as 127.0.2.1'],
])('%s ends the program with exit code 2 before it listens', async (line, message) => {
	// The callers' address is in use: a program that tried to listen would report EADDRINUSE and exit with code 1.
	const taken = createServer();
	taken.listen(8080, host);
	await once(taken, 'listening');
	const file = await program.writeSettings(`${minimalSettings}${line}\n`);
	const {code, output, errors} = await program.run('--settings', file);
	expect({code, output}).toEqual({code: 2, output: ''});
	expect(errors).toContain(message);
	expect(errors).not.toMatch(/EADDRINUSE|\n\s+at /v);
	taken.close();
});

test('a missing value is reported with the expected type', async () => {
	const {code, errors} = await program.run('--settings', await program.writeSettings('router: {id: suva-1}'));
	expect(code).toBe(2);
	expect(errors).toContain('router.failureDomain is missing or empty, expected a string');
	expect(errors).toContain('listen is missing or empty, expected a mapping');
});

test('--check-settings reports whether the settings are valid and starts nothing', async () => {
	const valid = await program.run('--settings', 'examples/council/routers/suva-1.yaml', '--check-settings');
	expect(valid).toEqual({code: 0, output: expect.stringContaining('settings of router "suva-1" are valid'), errors: ''});
	const invalid = await program.run('--settings', await program.writeSettings('stop: 5'), '--check-settings');
	expect(invalid).toMatchObject({code: 2, output: expect.stringContaining('stop is 5, expected a mapping')});
});

test.each([
	[[], '--settings FILE is missing'],
	[['--settings'], '--settings FILE is missing'],
	[['--setings', 'x'], 'no option is named --setings'],
])('wrong usage %j ends with exit code 2', async (args, message) => {
	const {code, errors} = await program.run(...args);
	expect(code).toBe(2);
	expect(errors).toContain(message);
});
