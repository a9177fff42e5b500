/*
Releases: a note turns the configuration of revision N into that of revision N + 1, and is stored with its audit entry in
one value. All functions here are pure; the stored forms are in `release-codec.ts`.
*/
import type {
	Configuration, FailureDomain, Target, Workspace,
} from './configuration.ts';
import {
	entityKindNames, validateNote, type Changes, type EntityKind, type NoteProblem, type ReleaseNote,
} from './release-note.ts';

/** The next configuration, or why the note can't be applied to the given one. */
export type NoteResult
	= | {kind: 'ok'; configuration: Configuration}
		| {kind: 'refused'; problems: NoteProblem[]};

/** Entities of a configuration, as lists. */
export type ConfigurationPart = {
	workspaces: Workspace[];
	targets: Target[];
	failureDomains: FailureDomain[];
};

/** Operator action, as the CLI command is called. */
export enum AuditAction {
	ReleaseApply = 'release apply',
	DomainOut = 'domain out',
	DomainIn = 'domain in',
	TargetDrain = 'target drain',
}

/** Who changed what, when and why. Workspace keys appear only as hashes. */
export type AuditEntry = {
	/** Wall-clock time in ISO 8601 form, UTC. */
	at: string;
	/** Name of the operator, from the router's settings. */
	operator: string;
	/** An `AuditAction`; text, since a later version may have written it. */
	action: string;
	/** Entities affected by the note, before it. */
	before: ConfigurationPart;
	/** The same entities, after it. */
	after: ConfigurationPart;
	reason: string;
};

export type Release = {
	/** Revision that the note creates, from 1. */
	revision: number;
	note: ReleaseNote;
	audit: AuditEntry;
	/** Random; identifies the writer's own release when the answer to its write was lost. */
	nonce: string;
};

/**
Applies a note to a configuration, which stays as it is. The new one has the next revision. All problems are reported
together; a note is applied completely or not at all.
*/
export function applyNote(configuration: Configuration, note: ReleaseNote): NoteResult {
	const validation = validateNote(note);
	if (validation.kind === 'malformed') {
		return {kind: 'refused', problems: validation.problems};
	}

	if (getAllEdits(note).length === 0) {
		return {kind: 'refused', problems: [{kind: 'empty'}]};
	}

	const next = copyToNextRevision(configuration);
	const problems = entityKindNames.flatMap(kind => applyEditsOfKind(next, note, kind));
	problems.push(...checkReferences(next, note), ...checkBudgets(next, note), ...checkKeys(next, note));
	return problems.length > 0 ? {kind: 'refused', problems} : {kind: 'ok', configuration: next};
}

/** The entities of a configuration that a note affects; absent ones are omitted. */
export function getAffectedEntities(configuration: Configuration, note: ReleaseNote): ConfigurationPart {
	const part: ConfigurationPart = {workspaces: [], targets: [], failureDomains: []};
	for (const {kind, id} of getAllEdits(note)) {
		const entity = configuration[kind].get(id);
		if (entity !== undefined) {
			(part[kind] as Entity[]).push(entity);
		}
	}

	return part;
}

type Entity = Workspace | Target | FailureDomain;

/** A complete entity, or its name and the changed fields. */
type Entry = NonNullable<Changes[EntityKind]>[number];

type EntityEdit = {
	kind: EntityKind;
	section: keyof ReleaseNote;
	id: string;
	path: string;
	/** Undefined when the entity is withdrawn. */
	entry?: Entry;
};

function getEntryId(entry: Entry | string): string {
	if (typeof entry === 'string') {
		return entry;
	}

	return 'id' in entry ? entry.id : entry.name;
}

function getEdits(note: ReleaseNote, section: keyof ReleaseNote, kind: EntityKind): EntityEdit[] {
	const entries: ReadonlyArray<Entry | string> = note[section]?.[kind] ?? [];
	return entries.map((entry, index) => ({
		kind,
		section,
		id: getEntryId(entry),
		path: `${section}.${kind}[${index}]`,
		...(typeof entry !== 'string' && {entry}),
	}));
}

function getEditsOfKind(note: ReleaseNote, kind: EntityKind): EntityEdit[] {
	return (['withdrawn', 'added', 'changed'] as const).flatMap(section => getEdits(note, section, kind));
}

function getAllEdits(note: ReleaseNote): EntityEdit[] {
	return entityKindNames.flatMap(kind => getEditsOfKind(note, kind));
}

function copyToNextRevision(configuration: Configuration): Configuration {
	return {
		revision: configuration.revision + 1,
		workspaces: new Map(configuration.workspaces),
		targets: new Map(configuration.targets),
		failureDomains: new Map(configuration.failureDomains),
	};
}

function applyEditsOfKind(next: Configuration, note: ReleaseNote, kind: EntityKind): NoteProblem[] {
	const table = next[kind] as Map<string, Entity>;
	const seen = new Set<string>();
	return getEditsOfKind(note, kind).flatMap(edit => {
		if (seen.has(edit.id)) {
			return [{kind: 'repeated', path: edit.path, id: edit.id} as const];
		}

		seen.add(edit.id);
		return editHandlers[edit.section](table, edit);
	});
}

/** Handlers that apply one edit to the table of its kind, by section of the note. */
const editHandlers: Record<keyof ReleaseNote, (table: Map<string, Entity>, edit: EntityEdit) => NoteProblem[]> = {
	added(table, {id, path, entry}) {
		if (table.has(id)) {
			return [{kind: 'exists', path, id}];
		}

		// `validateNote` has checked every field of an added entity.

		table.set(id, entry as Entity);
		return [];
	},
	changed(table, {id, path, entry}) {
		const before = table.get(id);
		if (before === undefined) {
			return [{kind: 'unknown', path, id}];
		}

		// A field that is present but undefined changes nothing.
		const given = Object.fromEntries(Object.entries(entry ?? {}).filter(([, value]) => value !== undefined));
		table.set(id, {...before, ...given});
		return [];
	},
	withdrawn: (table, {id, path}) => table.delete(id) ? [] : [{kind: 'unknown', path, id}],
};

/** Checks that the failure domain of every target exists. */
function checkReferences(next: Configuration, note: ReleaseNote): NoteProblem[] {
	const withdrawn = getEdits(note, 'withdrawn', 'failureDomains');
	const problems: NoteProblem[] = [];
	for (const {id, path} of withdrawn) {
		const targets = [...next.targets.values()].filter(target => target.failureDomain === id).map(target => target.id);
		if (targets.length > 0) {
			problems.push({
				kind: 'inUse', path, id, targets,
			});
		}
	}

	for (const {id, path} of getAddedOrChanged(note, 'targets')) {
		const failureDomain = next.targets.get(id)?.failureDomain;
		const reported = withdrawn.some(edit => edit.id === failureDomain);
		if (failureDomain !== undefined && !reported && !next.failureDomains.has(failureDomain)) {
			problems.push({kind: 'unknownFailureDomain', path, failureDomain});
		}
	}

	return problems;
}

function checkBudgets(next: Configuration, note: ReleaseNote): NoteProblem[] {
	return getAddedOrChanged(note, 'targets').flatMap(({id, path}) => {
		const target = next.targets.get(id);
		if (target === undefined || target.coldBudget <= target.warmBudget) {
			return [];
		}

		const expected = `at most warmBudget, which is ${target.warmBudget}`;
		return [{
			kind: 'invalid', path: `${path}.coldBudget`, value: target.coldBudget, expected,
		} as const];
	});
}

function checkKeys(next: Configuration, note: ReleaseNote): NoteProblem[] {
	return getAddedOrChanged(note, 'workspaces').flatMap(({id, path}) => {
		const keyHash = next.workspaces.get(id)?.keyHash;
		const other = [...next.workspaces.values()].find(workspace => workspace.id !== id && workspace.keyHash === keyHash);
		return other === undefined
			? []
			: [{
				kind: 'sharedKey', path, id, other: other.id,
			} as const];
	});
}

/** Entities that the note adds or changes. */
function getAddedOrChanged(note: ReleaseNote, kind: EntityKind): EntityEdit[] {
	return getEditsOfKind(note, kind).filter(edit => edit.section !== 'withdrawn');
}
