/*
Stored forms of releases and snapshots, as the Object API and peers carry them. A snapshot holds a whole configuration,
so that a newly started router needn't read every note. Decoding checks every field and never throws.
*/
import type {Configuration} from './configuration.ts';
import {checkEntity, isRecord} from './entity-rules.ts';
import {
	entityKindNames, entityKinds, validateNote, type NoteProblem,
} from './release-note.ts';
import type {ConfigurationPart, Release} from './release.ts';

/** A decoded value, or the reason why decoding failed. */
export type Decoded<Value>
	= | {kind: 'ok'; value: Value}
	/** Not JSON. */
		| {kind: 'unparsable'; reason: string}
	/** Valid JSON of the wrong shape. */
		| {kind: 'malformed'; problems: NoteProblem[]};

const revisionDigits = 8;

/** Key of a release in the Object API, for example `release/00000042`; keys sort in the order of revisions. */
export function getReleaseKey(revision: number): string {
	return `release/${String(revision).padStart(revisionDigits, '0')}`;
}

/** Key of a snapshot in the Object API, for example `snapshot/00000042`. */
export function getSnapshotKey(revision: number): string {
	return `snapshot/${String(revision).padStart(revisionDigits, '0')}`;
}

/** Stored form of a release. */
export function encodeRelease(release: Release): string {
	return JSON.stringify(release);
}

/** Maximum size of a value in the Object API, in bytes. */
export const maxStoredBytes = 1_000_000;

/** Checks that a stored form fits into one value of the Object API. */
export function checkEncodedSize(text: string): NoteProblem[] {
	const bytes = new TextEncoder().encode(text).length;
	return bytes > maxStoredBytes ? [{kind: 'tooLarge', bytes, limitBytes: maxStoredBytes}] : [];
}

/** Decodes a stored release. Never throws. */
export function decodeRelease(text: string): Decoded<Release> {
	return decode(text, findReleaseProblems);
}

/** Stored form of a whole configuration. */
export function encodeSnapshot(configuration: Configuration): string {
	const {revision} = configuration;
	return JSON.stringify({
		revision,
		workspaces: [...configuration.workspaces.values()],
		targets: [...configuration.targets.values()],
		failureDomains: [...configuration.failureDomains.values()],
	});
}

/** Decodes a stored snapshot. Never throws. */
export function decodeSnapshot(text: string): Decoded<Configuration> {
	const decoded = decode<ConfigurationPart & {revision: number}>(text, findSnapshotProblems);
	if (decoded.kind !== 'ok') {
		return decoded;
	}

	const {revision, ...part} = decoded.value;
	return {kind: 'ok', value: createConfiguration(revision, part)};
}

function createConfiguration(revision: number, {workspaces, targets, failureDomains}: ConfigurationPart): Configuration {
	return {
		revision,
		workspaces: new Map(workspaces.map(workspace => [workspace.id, workspace])),
		targets: new Map(targets.map(target => [target.id, target])),
		failureDomains: new Map(failureDomains.map(failureDomain => [failureDomain.name, failureDomain])),
	};
}

function decode<Value>(text: string, check: (value: unknown) => NoteProblem[]): Decoded<Value> {
	let value: unknown;
	try {
		value = JSON.parse(text);
	} catch (error) {
		return {kind: 'unparsable', reason: String(error)};
	}

	const problems = check(value);
	// Checked above, field by field.

	return problems.length > 0 ? {kind: 'malformed', problems} : {kind: 'ok', value: value as Value};
}

function invalid(path: string, value: unknown, expected: string): NoteProblem {
	return {
		kind: 'invalid', path, value, expected,
	};
}

function checkRevision(value: unknown, minRevision: number): NoteProblem[] {
	const isValid = typeof value === 'number' && Number.isSafeInteger(value) && value >= minRevision;
	return isValid ? [] : [invalid('revision', value, `a whole number from ${minRevision}`)];
}

function checkStrings(value: Record<string, unknown>, fields: readonly string[], prefix: string): NoteProblem[] {
	return fields.filter(field => typeof value[field] !== 'string')
		.map(field => invalid(prefix + field, value[field], 'a string'));
}

function findReleaseProblems(value: unknown): NoteProblem[] {
	if (!isRecord(value)) {
		return [invalid('release', value, 'an object')];
	}

	const validation = validateNote(value.note);
	return [
		...checkRevision(value.revision, 1),
		...(validation.kind === 'malformed' ? validation.problems : []),
		...checkStrings(value, ['nonce'], ''),
		...findAuditProblems(value.audit),
	];
}

function findAuditProblems(audit: unknown): NoteProblem[] {
	if (!isRecord(audit)) {
		return [invalid('audit', audit, 'an object')];
	}

	return [
		...checkStrings(audit, ['at', 'operator', 'action', 'reason'], 'audit.'),
		...findPartProblems(audit.before, 'audit.before'),
		...findPartProblems(audit.after, 'audit.after'),
	];
}

function findSnapshotProblems(value: unknown): NoteProblem[] {
	return isRecord(value)
		? [...checkRevision(value.revision, 0), ...findPartProblems(value, 'snapshot')]
		: [invalid('snapshot', value, 'an object')];
}

function findPartProblems(part: unknown, path: string): NoteProblem[] {
	if (!isRecord(part)) {
		return [invalid(path, part, 'an object')];
	}

	return entityKindNames.flatMap(kind => {
		const entities = part[kind];
		if (!Array.isArray(entities)) {
			return [invalid(`${path}.${kind}`, entities, 'a list')];
		}

		return entities.flatMap((entity, index) =>
			checkEntity(entityKinds[kind].rules, entity, `${path}.${kind}[${index}]`)
				.map(violation => invalid(violation.path, violation.value, violation.expected)));
	});
}
