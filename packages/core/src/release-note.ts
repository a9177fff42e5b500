/*
The release note: what an operator adds, changes and withdraws in one step. `validateNote` checks the shape of an
untrusted note; `applyNote` in `release.ts` checks it against the configuration in force.
*/
import type {FailureDomain, Target, Workspace} from './configuration.ts';
import {
	checkEntity, failureDomainRules, isRecord, targetRules, workspaceRules, type EntityRules, type Violation,
} from './entity-rules.ts';

/** Complete entities that a note adds. */
export type Additions = {
	workspaces?: Workspace[];
	targets?: Target[];
	failureDomains?: FailureDomain[];
};

/** Entities that a note changes: the name and the changed fields. */
export type Changes = {
	workspaces?: Array<Partial<Workspace> & Pick<Workspace, 'id'>>;
	targets?: Array<Partial<Target> & Pick<Target, 'id'>>;
	failureDomains?: FailureDomain[];
};

/** Names of the entities that a note withdraws. */
export type Withdrawals = {
	workspaces?: string[];
	targets?: string[];
	failureDomains?: string[];
};

/**
One step from a configuration to the next.

@example
```
const note: ReleaseNote = {changed: {failureDomains: [{name: 'suva', standing: Standing.Out}]}};
```
*/
export type ReleaseNote = {
	added?: Additions;
	changed?: Changes;
	withdrawn?: Withdrawals;
};

/** Part of a note or configuration that holds one kind of entity. */
export type EntityKind = keyof Additions;

export const entityKindNames = ['workspaces', 'targets', 'failureDomains'] as const satisfies readonly EntityKind[];

/** Reason why a note can't be applied. */
export type NoteProblem
	= | {kind: 'empty'}
	/** A value breaks the rules of its field, or the field doesn't exist. */
		| {kind: 'invalid'; path: string; value: unknown; expected: string}
	/** Added, but already exists. */
		| {kind: 'exists'; path: string; id: string}
	/** Changed or withdrawn, but doesn't exist. */
		| {kind: 'unknown'; path: string; id: string}
	/** Named twice in the same note. */
		| {kind: 'repeated'; path: string; id: string}
		| {kind: 'unknownFailureDomain'; path: string; failureDomain: string}
	/** Withdraws a failure domain that still has targets. */
		| {kind: 'inUse'; path: string; id: string; targets: string[]}
	/** Two workspaces with the same key. */
		| {kind: 'sharedKey'; path: string; id: string; other: string}
	/** The stored form is larger than the Object API accepts. */
		| {kind: 'tooLarge'; bytes: number; limitBytes: number};

type ProblemTexts = {[Kind in NoteProblem['kind']]: {
	message: (problem: Extract<NoteProblem, {kind: Kind}>) => string;
	/** How the operator can resolve it. */
	hint: string;
}};

/** Message and hint of each kind of problem. */
export const noteProblems: ProblemTexts = {
	empty: {
		message: () => 'the note adds, changes and withdraws nothing',
		hint: 'Name at least one entity under added, changed or withdrawn.',
	},
	invalid: {
		message: problem => `${problem.path} is ${formatValue(problem.value)}, expected ${problem.expected}`,
		hint: 'Correct the value; docs/SETTINGS.md lists the fields.',
	},
	exists: {
		message: problem => `${problem.path} adds "${problem.id}", which exists already`,
		hint: 'List it under changed, or choose another name.',
	},
	unknown: {
		message: problem => `${problem.path} names "${problem.id}", which doesn't exist`,
		hint: 'Check the name, or list it under added.',
	},
	repeated: {
		message: problem => `${problem.path} names "${problem.id}" a second time`,
		hint: 'Name each entity once in a note; use two releases to replace one.',
	},
	unknownFailureDomain: {
		message: problem => `${problem.path} names failure domain "${problem.failureDomain}", which doesn't exist`,
		hint: 'Add the failure domain in the same note, or correct its name.',
	},
	inUse: {
		message: problem => `${problem.path} withdraws "${problem.id}", which still has targets: ${problem.targets.join(', ')}`,
		hint: 'Withdraw or move its targets in the same note, or set it to out.',
	},
	sharedKey: {
		message: problem => `${problem.path} gives "${problem.id}" the key of workspace "${problem.other}"`,
		hint: 'Give each workspace a key of its own.',
	},
	tooLarge: {
		message: problem => `the release takes ${problem.bytes} bytes, more than the Object API's ${problem.limitBytes}`,
		hint: 'Split the note into several releases.',
	},
};

/** Message of one problem. */
export function formatNoteProblem(problem: NoteProblem): string {
	// The table is indexed by the problem's own kind, which TypeScript can't relate to the parameter.

	const entry = noteProblems[problem.kind] as {message: (problem: NoteProblem) => string};
	return entry.message(problem);
}

/** A valid note, or its problems. */
export type NoteValidation
	= | {kind: 'ok'; note: ReleaseNote}
		| {kind: 'malformed'; problems: NoteProblem[]};

/** Identifying field and field rules of each kind of entity. */
export const entityKinds: Record<EntityKind, {identity: string; rules: EntityRules<never>}> = {
	workspaces: {identity: 'id', rules: workspaceRules},
	targets: {identity: 'id', rules: targetRules},
	failureDomains: {identity: 'name', rules: failureDomainRules},
};

type EntryCheck = (kind: EntityKind, entry: unknown, path: string) => Violation[];

const sections: Record<keyof ReleaseNote, EntryCheck> = {
	added: (kind, entry, path) => checkEntity(entityKinds[kind].rules, entry, path),
	changed(kind, entry, path) {
		const {identity, rules} = entityKinds[kind];
		const optional = Object.keys(rules).filter(field => field !== identity);
		return checkEntity(rules, entry, path, optional);
	},
	withdrawn: (_kind, entry, path) => typeof entry === 'string' ? [] : [{path, value: entry, expected: 'a name'}],
};

/** Checks the shape of an untrusted note. Never throws. */
export function validateNote(value: unknown): NoteValidation {
	const violations = checkFields(value, sections, 'note', (section, check, path) =>
		checkFields(section, entityKinds, path, (entries, _entity, entriesPath, kind) =>
			checkEntries(entries, entriesPath, (entry, entryPath) => check(kind, entry, entryPath))));
	if (violations.length > 0) {
		return {kind: 'malformed', problems: violations.map(violation => ({kind: 'invalid', ...violation}))};
	}

	// Checked above, field by field.

	return {kind: 'ok', note: value as ReleaseNote};
}

type MemberCheck<Key extends string, Entry> = (member: unknown, entry: Entry, path: string, key: Key) => Violation[];

/** Checks each member of an object whose keys are those of `table`. */
function checkFields<Key extends string, Entry>(value: unknown, table: Record<Key, Entry>, path: string, check: MemberCheck<Key, Entry>): Violation[] {
	if (!isRecord(value)) {
		return [{path, value, expected: 'an object'}];
	}

	const prefix = path === 'note' ? '' : `${path}.`;
	return Object.entries(value).filter(([, member]) => member !== undefined).flatMap(([key, member]) =>
		isKeyOf(table, key)
			? check(member, table[key], prefix + key, key)
			: [{path: prefix + key, value: member, expected: `one of ${Object.keys(table).join(', ')}`}]);
}

function isKeyOf<Key extends string>(table: Record<Key, unknown>, key: string): key is Key {
	return Object.hasOwn(table, key);
}

function checkEntries(entries: unknown, path: string, check: (entry: unknown, path: string) => Violation[]): Violation[] {
	if (!Array.isArray(entries)) {
		return [{path, value: entries, expected: 'a list'}];
	}

	return entries.flatMap((entry, index) => check(entry, `${path}[${index}]`));
}

function formatValue(value: unknown): string {
	return value === undefined ? 'missing' : JSON.stringify(value);
}
