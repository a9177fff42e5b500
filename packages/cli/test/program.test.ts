import {commands} from '../src/cli/commands.ts';
import {getNameWords} from '../src/cli/command.ts';
import {runProgram, type ProgramContext} from '../src/cli/program.ts';
import {startFakeRouter, type FakeRouter} from './fake-router.ts';

const note = 'examples/council/release-1.yaml';
const suva = {name: 'suva', standing: 'in'};
const audit = {
	at: '2026-01-01T08:00:00.000Z',
	operator: 'night',
	action: 'domain out',
	reason: 'power works',
	before: {workspaces: [], targets: [], failureDomains: [suva]},
	after: {workspaces: [], targets: [], failureDomains: [{...suva, standing: 'out'}]},
};
const release = {revision: 7, note: {changed: {failureDomains: [{name: 'suva', standing: 'out'}]}}, audit};
const status = {
	router: 'suva-1', failureDomain: 'suva', revision: 7, state: 'active', leaseAgeMs: 800, inForce: {revision: 7, members: 1, of: 2},
};
const member = {
	id: 'suva-1', failureDomain: 'suva', state: 'active', revision: 7, heardAgeMs: 0, callerUrl: 'http://127.0.2.1:8080', targets: 2,
};
const staleMember = {
	...member, id: 'suva-2', revision: 6, heardAgeMs: 1500,
};
const silentMember = {
	...member, id: 'suva-3', revision: 0, heardAgeMs: null,
};
const target = {
	id: 'suva-engine-1', kind: 'engine', failureDomain: 'suva', pools: ['small'], standing: 'in', failureDomainStanding: 'in', owner: 'suva-1', epoch: 3, phase: 'warm', budget: 16, running: 5,
};
const foreignTarget = {
	...target, id: 'labasa-engine-1', failureDomainStanding: 'out', owner: 'labasa-1', phase: undefined, budget: undefined, running: undefined,
};
const workspace = {
	id: 'nadi-college', weight: 2, waiting: 9, running: 1, service: 1234.5, share: 0.125, virtualTime: 2000 / 3, gapToShare: -40,
};
const unknownDomain = {kind: 'unknown', path: 'changed.failureDomains[0]', id: 'nadi'};

let router: FakeRouter;

beforeEach(async () => {
	router = await startFakeRouter();
	router.replies.set('GET status', {body: status});
	router.replies.set('GET members', {body: [member, staleMember, silentMember]});
	router.replies.set('GET domains', {
		body: [{
			name: 'suva', standing: 'out', routers: 3, targets: 2, owned: 1,
		}],
	});
	router.replies.set('GET targets', {
		body: [target, {
			...target, id: 'suva-engine-2', phase: 'cold', owner: '',
		}, foreignTarget],
	});
	router.replies.set('GET workspaces', {body: [{...workspace, id: 'ba', waiting: 0}, workspace]});
	router.replies.set('GET releases', {body: [release]});
	router.replies.set('POST releases/check', {body: {revision: 6, problems: []}});
	router.replies.set('POST releases', {body: {revision: 8}});
});

afterEach(async () => router.close());

async function run(line: string, overrides: Partial<ProgramContext['environment']> = {}) {
	let output = '';
	let errors = '';
	const exitCode = await runProgram(line.split(' '), {
		environment: {SHALLOTLOOM_ROUTER: router.url, SHALLOTLOOM_KEY: 'duty-key', ...overrides},
		terminal: {
			isInteractive: false,
			hasColour: false,
			signal: new AbortController().signal,
			write(text) {
				output += text;
			},
		},
		version: '0',
		writeError(text) {
			errors += text;
		},
	});
	return {exitCode, output, errors};
}

test.each([
	['release check ' + note, /fits revision 6/v],
	['release apply ' + note, /revision 8 is accepted: added workspaces applicants, .*, and 8 more; added target/v],
	['release status', /revision 7 is in force on 1 of 2 routers\n {2}suva-2 has revision 6, heard 1\.5 s ago\n {2}suva-3 has revision 0, heard never/v],
	['release history --limit 3', /7\s+2026-01-01T08:00:00\.000Z\s+night\s+power works\s+changed failure domain suva/v],
	['domain list', /suva +out +3 +2 +1/v],
	['domain out suva --reason works', /failure domain suva is out from revision 8 on/v],
	['domain in suva', /failure domain suva is in from revision 8 on/v],
	['target list', /suva-engine-2 +engine +suva +in +cold +5\/16 +none/v],
	['target list', /labasa-engine-1 +engine +suva +domain out +\? +\? +labasa-1[^\n]*\n\?: ask the owner/v],
	['target show suva-engine-1', /epoch +3/v],
	['target drain suva-engine-1', /gets no new work from revision 8 on/v],
	['workspace list', /nadi-college +2 +9 +1 +1235 +12\.5 % +-40/v],
	['workspace show nadi-college', /virtualTime +666\.667\ngapToShare +-40/v],
	['router list', /suva-2 +suva +active +6 +1\.5 s ago .*\nsuva-3 +suva +active +0 +never/v],
	['audit', /revision 7 by night, domain out: power works\n {2}failure domain suva: standing in -> out/v],
	['top', /in force on 1 of 2\n\n.*\nnadi-college[^\n]*\nba[^\n]*\n\n.*\nsuva-engine-2[^\n]*\nsuva-engine-1[^\n]*\nlabasa/v],
])('%s', async (line, expected) => {
	const text = await run(line);
	expect(text).toMatchObject({exitCode: 0, errors: ''});
	expect(text.output).toMatch(expected);
	const json = await run(`${line} --json`);
	expect(json.exitCode).toBe(0);
	expect(() => JSON.parse(json.output) as unknown).not.toThrow();
	expect(router.requests.every(({key}) => key === 'Bearer duty-key')).toBe(true);
});

test('release apply sends key hashes in place of keys, and the revision of its check', async () => {
	await run(`release apply ${note} --reason first`);
	const sent = router.requests.at(-1)!;
	expect(sent).toMatchObject({path: 'releases', body: {reason: 'first', action: 'release apply', ifRevision: 6}});
	expect(JSON.stringify(router.requests)).not.toContain('council-example');
});

test('domain out sends a note that changes only the standing', async () => {
	await run('domain out suva');
	expect(router.requests).toEqual([{
		path: 'releases', key: 'Bearer duty-key', body: {note: release.note, reason: '', action: 'domain out'},
	}]);
});

test.each([
	['--since 2026-01-02', 0], ['--since 2025-12-31', 1], ['--who duty', 0], ['--who night', 1], ['--what suva', 1], ['--what labasa', 0],
])('audit %s', async (options, count) => {
	const {output} = await run(`audit --json ${options}`);
	expect(JSON.parse(output)).toHaveLength(count);
});

test('a concurrent release is reported with its operator, reason and changes', async () => {
	router.replies.set('POST releases', {
		status: 409, body: {
			error: {
				kind: 'superseded', message: 'superseded', hint: '', revision: 7, audit,
			},
		},
	});
	const {exitCode, errors} = await run(`release apply ${note}`);
	expect(exitCode).toBe(1);
	expect(errors).toContain('revision 7 by night at 2026-01-01T08:00:00.000Z (domain out: power works)\n  failure domain suva: standing in -> out');
	expect(errors).toContain('release check');
});

test.each<[string, string, Parameters<FakeRouter['replies']['set']>[1], RegExp]>([
	['domain out nadi', 'POST releases', {status: 422, body: {error: {kind: 'invalid', problems: [unknownDomain]}}}, /names "nadi", which doesn't exist/v],
	[`release apply ${note}`, 'POST releases/check', {body: {revision: 6, problems: [{kind: 'empty'}]}}, /adds, changes and withdraws nothing/v],
	['domain out suva', 'POST releases', {status: 503, body: {error: {kind: 'unavailable', message: 'the Object API is down', hint: 'Wait.'}}}, /the Object API is down\nWait\./v],
	['domain out suva', 'POST releases', {
		status: 504, body: {error: {kind: 'unknown-outcome', message: 'the note may have become revision 7', hint: 'Look at `release history`.'}},
	}, /may have become revision 7\nLook at `release history`/v],
	['domain out suva', 'POST releases', 'hang-up', /whether the release was accepted is not known\n.*history/v],
	[`release apply ${note}`, 'POST releases', {
		status: 409, body: {
			error: {
				kind: 'superseded', message: '', hint: '', revision: 9,
			},
		},
	}, /the revision in force is 9\n/v],
	['target list', 'GET targets', 'hang-up', /no answer from/v],
	['target list', 'GET targets', {status: 401, body: {}}, /doesn't accept the operator key/v],
	['target list', 'GET targets', {status: 404, body: {error: {kind: 'unknown-path', message: 'no such path'}}}, /no such path\nCheck that --router/v],
	['target list', 'GET targets', {body: '<html>'}, /isn't the operators' API/v],
	['target list', 'GET targets', {body: {}}, /isn't the operators' API/v],
	['target list', 'GET targets', {status: 500, body: 'oops'}, /status 500/v],
	['target show suva-engine-3', 'GET none', {body: {}}, /no target is named "suva-engine-3"\nDid you mean "suva-engine-1"\?/v],
])('%s fails with exit code 1 when %s gives %j', async (line, path, reply, expected) => {
	router.replies.set(path, reply);
	const {exitCode, errors, output} = await run(line);
	expect({exitCode, output}).toEqual({exitCode: 1, output: ''});
	expect(errors).toMatch(expected);
	expect(errors).not.toMatch(/\n\s+at /v);
});

test('a refused connection is distinguished from a missing response', async () => {
	const {exitCode, errors} = await run('domain out suva', {SHALLOTLOOM_ROUTER: 'http://127.0.0.1:1'});
	expect(exitCode).toBe(1);
	expect(errors).toMatch(/no connection to .*: connection refused\n.*--router/v);
});

test.each([
	['releese check x', /did you mean "release check"/v],
	['release', /there are: release check, release apply/v],
	['release check', /needs FILE/v],
	['target list extra', /doesn't take "extra"/v],
	['target list --rooter x', /did you mean --router\?/v],
	['target list --router', /--router needs a value/v],
	['release check package-lock.json', /unknown key/v],
	['release check nowhere.yaml', /ENOENT/v],
	['audit --since yesterday', /--since is "yesterday"/v],
	['release history --limit x', /--limit is "x"/v],
	[`release apply ${note} --if-revision x`, /--if-revision is "x"/v],
])('%s is wrong usage', async (line, expected) => {
	const {exitCode, errors} = await run(line);
	expect(exitCode).toBe(2);
	expect(errors).toMatch(expected);
});

test('nothing is sent without a key', async () => {
	const {exitCode, errors} = await run('target list', {SHALLOTLOOM_KEY: undefined});
	expect(exitCode).toBe(2);
	expect(errors).toMatch(/set SHALLOTLOOM_KEY/v);
	expect(router.requests).toEqual([]);
});

test('an error is printed as JSON with --json', async () => {
	const {errors} = await run('target show x --json');
	expect(JSON.parse(errors)).toMatchObject({error: {kind: 'unknownName', name: 'x', hint: expect.any(String)}});
});

test.each(commands.map(command => getNameWords(command).join(' ')))('%s --help has an example', async name => {
	const printed = jest.spyOn(console, 'log').mockImplementation();
	const {exitCode} = await run(`${name} --help`);
	expect(exitCode).toBe(0);
	expect(String(printed.mock.calls[0])).toMatch(new RegExp(String.raw`Examples\n\s+\$ shallotloom ${name}`, 'v'));
	printed.mockRestore();
});

test.each(['--help', 'release --help', 'none --help', '-h'])('%s lists the commands', async line => {
	const printed = jest.spyOn(console, 'log').mockImplementation();
	const {exitCode} = await run(line);
	expect(exitCode).toBe(0);
	expect(String(printed.mock.calls[0])).toContain('release check');
	printed.mockRestore();
});

test('top redraws on a terminal until interrupted, also after an error', async () => {
	const abortController = new AbortController();
	const screens: string[] = [];
	const exitCode = await runProgram(['top'], {
		environment: {SHALLOTLOOM_ROUTER: router.url, SHALLOTLOOM_KEY: 'duty-key'},
		terminal: {
			isInteractive: true,
			hasColour: true,
			signal: abortController.signal,
			write(text) {
				screens.push(text);
				router.replies.set('GET status', 'hang-up');
				if (screens.length === 2) {
					abortController.abort();
				}
			},
		},
		version: '0',
		writeError() {
			throw new Error('top wrote an error instead of showing it on the screen');
		},
	});
	expect(exitCode).toBe(0);
	expect(screens).toHaveLength(2);
	expect(screens[0]).toContain('nadi-college');
	expect(screens[1]).toContain('no answer from');
});
