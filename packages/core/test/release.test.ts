import fc from 'fast-check';
import {
	createEmptyConfiguration, Standing, TargetKind, type Configuration, type Target, type Workspace,
} from '../src/configuration.ts';
import {formatNoteProblem, validateNote, type ReleaseNote} from '../src/release-note.ts';
import {
	checkEncodedSize, decodeRelease, decodeSnapshot, encodeRelease, encodeSnapshot, maxStoredBytes, getReleaseKey,
} from '../src/release-codec.ts';
import {applyNote, getAffectedEntities, type Release} from '../src/release.ts';

function workspace(id: string, overrides: Partial<Workspace> = {}): Workspace {
	const keyHash = [...id].map(letter => letter.codePointAt(0)!.toString(16)).join('').padEnd(64, '0');
	return {
		id, weight: 1, keyHash, queueLimit: 1000, ...overrides,
	};
}

function target(id: string, overrides: Partial<Target> = {}): Target {
	return {
		id,
		url: 'http://127.0.1.1:9100',
		kind: TargetKind.Engine,
		failureDomain: 'suva',
		pools: ['small'],
		warmBudget: 8,
		coldBudget: 2,
		standing: Standing.In,
		fences: true,
		...overrides,
	};
}

const first: ReleaseNote = {
	added: {
		failureDomains: [{name: 'suva', standing: Standing.In}],
		targets: [target('engine-1')],
		workspaces: [workspace('ba')],
	},
};

function applied(configuration: Configuration, note: ReleaseNote): Configuration {
	const result = applyNote(configuration, note);
	if (result.kind === 'refused') {
		throw new Error(result.problems.map(problem => formatNoteProblem(problem)).join('\n'));
	}

	return result.configuration;
}

const base = applied(createEmptyConfiguration(), first);

test('a note creates the next revision without changing the previous configuration', () => {
	const next = applied(base, {
		added: {workspaces: [workspace('nadi')]},
		changed: {failureDomains: [{name: 'suva', standing: Standing.Out}], targets: [{id: 'engine-1', warmBudget: 4}]},
		withdrawn: {workspaces: ['ba']},
	});
	expect(next.revision).toBe(2);
	expect([...next.workspaces.keys()]).toEqual(['nadi']);
	expect(next.failureDomains.get('suva')?.standing).toBe(Standing.Out);
	expect(next.targets.get('engine-1')).toEqual(target('engine-1', {warmBudget: 4}));
	expect(base).toEqual(applied(createEmptyConfiguration(), first));
});

test('a failure domain may be withdrawn together with its targets', () => {
	expect(applied(base, {withdrawn: {failureDomains: ['suva'], targets: ['engine-1']}}).targets.size).toBe(0);
});

test.each<[string, ReleaseNote, unknown[]]>([
	['nothing', {added: {workspaces: []}}, [{kind: 'empty'}]],
	['an entity that exists', {added: {workspaces: [workspace('ba')]}}, [{kind: 'exists', path: 'added.workspaces[0]', id: 'ba'}]],
	['a change of what is unknown', {changed: {targets: [{id: 'x'}]}}, [{kind: 'unknown', path: 'changed.targets[0]', id: 'x'}]],
	['withdrawal of what is unknown', {withdrawn: {targets: ['x']}}, [{kind: 'unknown', path: 'withdrawn.targets[0]', id: 'x'}]],
	['an entity twice', {changed: {workspaces: [{id: 'ba'}]}, withdrawn: {workspaces: ['ba']}}, [
		{kind: 'repeated', path: 'changed.workspaces[0]', id: 'ba'},
	]],
	['an unknown failure domain', {added: {targets: [target('x', {failureDomain: 'nadi'})]}}, [
		{kind: 'unknownFailureDomain', path: 'added.targets[0]', failureDomain: 'nadi'},
	]],
	['a failure domain in use', {withdrawn: {failureDomains: ['suva']}}, [
		{
			kind: 'inUse', path: 'withdrawn.failureDomains[0]', id: 'suva', targets: ['engine-1'],
		},
	]],
	['a weight of 0', {changed: {workspaces: [{id: 'ba', weight: 0}]}}, [
		{
			kind: 'invalid', path: 'changed.workspaces[0].weight', value: 0, expected: 'a number above 0',
		},
	]],
	['a cold budget above the warm one', {changed: {targets: [{id: 'engine-1', coldBudget: 9}]}}, [
		{
			kind: 'invalid', path: 'changed.targets[0].coldBudget', value: 9, expected: 'at most warmBudget, which is 8',
		},
	]],
	['a key of another workspace', {added: {workspaces: [workspace('nadi', {keyHash: workspace('ba').keyHash})]}}, [
		{
			kind: 'sharedKey', path: 'added.workspaces[0]', id: 'nadi', other: 'ba',
		},
	]],
])('a note with %s is refused', (_name, note, problems) => {
	expect(applyNote(base, note)).toEqual({kind: 'refused', problems});
});

test.each([
	[null],
	['text'],
	[[]],
	[{adds: {}}],
	[{added: []}],
	[{added: {workspaces: {}}}],
	[{added: {zones: []}}],
	[{added: {workspaces: [{id: 'ba'}]}}],
	[{added: {targets: [{...target('x'), url: 'http://engine:80'}]}}],
	[{changed: {targets: [{warmBudget: 2}]}}],
	[{changed: {targets: [{id: 'x', colour: 1}]}}],
	[{withdrawn: {targets: [1]}}],
	[{added: {workspaces: [workspace('__proto__')]}}],
])('a note of another shape is malformed: %j', value => {
	expect(validateNote(value).kind).toBe('malformed');
});

test('a release is unchanged after encoding and decoding', () => {
	const release: Release = {
		revision: 1,
		note: first,
		audit: {
			at: '2026-01-01T00:00:00.000Z',
			operator: 'duty',
			action: 'release apply',
			before: getAffectedEntities(createEmptyConfiguration(), first),
			after: getAffectedEntities(base, first),
			reason: 'first release',
		},
		nonce: 'n',
	};
	expect(decodeRelease(encodeRelease(release))).toEqual({kind: 'ok', value: release});
	expect(release.audit.after.targets).toEqual([target('engine-1')]);
	expect(decodeRelease(encodeRelease({...release, revision: 0}))).toEqual({
		kind: 'malformed',
		problems: [{
			kind: 'invalid', path: 'revision', value: 0, expected: 'a whole number from 1',
		}],
	});
});

test('a snapshot is unchanged after encoding and decoding', () => {
	expect(decodeSnapshot(encodeSnapshot(base))).toEqual({kind: 'ok', value: base});
});

test.each(['', '{', 'null', '[]', '{}', '{"revision":1,"note":{},"audit":null,"nonce":"n"}'])('a damaged value decodes to an error: %j', text => {
	expect(decodeRelease(text).kind).not.toBe('ok');
	expect(decodeSnapshot(text).kind).not.toBe('ok');
});

test('release keys sort in the order of revisions', () => {
	expect([9, 10, 100].map(revision => getReleaseKey(revision)).toSorted()).toEqual(['release/00000009', 'release/00000010', 'release/00000100']);
});

test('a field that is undefined changes nothing', () => {
	expect(applied(base, {changed: {workspaces: [{id: 'ba', weight: undefined}]}}).workspaces.get('ba')).toEqual(workspace('ba'));
});

test('a release above the size limit of the Object API is reported', () => {
	const text = 'ä'.repeat(maxStoredBytes / 2);
	expect(checkEncodedSize(text)).toEqual([]);
	expect(checkEncodedSize(`${text}a`)).toEqual([{kind: 'tooLarge', bytes: maxStoredBytes + 1, limitBytes: maxStoredBytes}]);
});

test('no untrusted value makes validation or decoding throw', () => {
	const damaged = fc.jsonValue().chain(value => fc.constantFrom(
		value,
		{added: value},
		{added: {targets: value}},
		{added: {workspaces: [value]}},
		{changed: {workspaces: [{id: 'ba', weight: value}]}},
		{withdrawn: {targets: [value]}},
	));
	fc.assert(fc.property(damaged, value => {
		const note = validateNote(value);
		const text = JSON.stringify({
			revision: 1, note: value, audit: value, nonce: '',
		});
		return note.kind === 'malformed' ? decodeRelease(text).kind === 'malformed' : ['ok', 'refused'].includes(applyNote(base, note.note).kind);
	}), {seed: 1, numRuns: 500});
});

test('the configuration of an accepted note is unchanged after encoding and decoding', () => {
	const ids = fc.constantFrom('ba', 'nadi', 'levuka');
	const domains = fc.constantFrom('suva', 'lautoka');
	const notes = fc.record({
		added: fc.record({
			workspaces: fc.array(ids.map(id => workspace(id)), {maxLength: 2}),
			targets: fc.array(fc.tuple(ids, domains).map(([id, failureDomain]) => target(id, {failureDomain})), {maxLength: 2}),
			failureDomains: fc.array(domains.map(name => ({name, standing: Standing.In})), {maxLength: 1}),
		}, {requiredKeys: []}),
		withdrawn: fc.record({workspaces: fc.array(ids, {maxLength: 1}), failureDomains: fc.array(domains, {maxLength: 1})}, {requiredKeys: []}),
	}, {requiredKeys: []});
	fc.assert(fc.property(fc.array(notes, {maxLength: 6}), steps => {
		let configuration = base;
		for (const step of steps) {
			const result = applyNote(configuration, step);
			configuration = result.kind === 'ok' ? result.configuration : configuration;
			expect(decodeSnapshot(encodeSnapshot(configuration))).toEqual({kind: 'ok', value: configuration});
			for (const {failureDomain} of configuration.targets.values()) {
				expect(configuration.failureDomains.has(failureDomain)).toBe(true);
			}
		}
	}), {seed: 2, numRuns: 300});
});
