/*
Words for releases: what a note names, and how the entities that it touches differ before and after.
*/
import {entityKindNames, type EntityKind, type ReleaseNote} from '@shallotloom/core/release-note.ts';
import type {ConfigurationPart} from '@shallotloom/core/release.ts';

const singular: Record<EntityKind, string> = {
	workspaces: 'workspace',
	targets: 'target',
	failureDomains: 'failure domain',
};

/** One line, for example `changed failure domain suva; withdrawn target engine-1`. */
export function describeNote(note: ReleaseNote): string {
	const sections = (['added', 'changed', 'withdrawn'] as const).flatMap(section =>
		entityKindNames.map(kind => describeEntries(section, kind, note)));
	return sections.filter(text => text !== '').join('; ');
}

function describeEntries(section: keyof ReleaseNote, kind: EntityKind, note: ReleaseNote): string {
	const entries: ReadonlyArray<string | {id: string} | {name: string}> = note[section]?.[kind] ?? [];
	if (entries.length === 0) {
		return '';
	}

	const names = entries.map(entry => typeof entry === 'string' ? entry : nameOf(entry));
	return `${section} ${singular[kind]}${names.length > 1 ? 's' : ''} ${shortList(names).join(', ')}`;
}

/** Entries that a message lists before it counts the rest. */
const shortListLength = 8;

/** The first entries, and how many more there are. */
export function shortList(entries: readonly string[]): string[] {
	const rest = entries.length - shortListLength;
	// One entry is not replaced by a count of one.
	return rest <= 1 ? [...entries] : [...entries.slice(0, shortListLength), `and ${rest} more`];
}

/** One line an entity that differs, for example `failure domain suva: standing in -> out`. */
export function describePart(before: ConfigurationPart, after: ConfigurationPart): string {
	return entityKindNames.flatMap(kind => {
		const old = byName(before[kind]);
		const next = byName(after[kind]);
		return [...new Set([...old.keys(), ...next.keys()])].map(name =>
			`  ${singular[kind]} ${name}: ${describeChange(old.get(name), next.get(name))}`);
	}).join('\n');
}

type Fields = Record<string, unknown>;

function describeChange(before: Fields | undefined, after: Fields | undefined): string {
	if (before === undefined || after === undefined) {
		return before === undefined ? 'added' : 'withdrawn';
	}

	const fields = Object.keys(after).filter(field => JSON.stringify(before[field]) !== JSON.stringify(after[field]));
	return fields.length === 0
		? 'unchanged'
		: fields.map(field => field === 'keyHash' ? 'key changed' : `${field} ${shown(before[field])} -> ${shown(after[field])}`).join(', ');
}

function byName(entities: ReadonlyArray<{id: string} | {name: string}>): Map<string, Fields> {
	return new Map(entities.map(entity => [nameOf(entity), {...entity}]));
}

function nameOf(entity: {id: string} | {name: string}): string {
	return 'id' in entity ? entity.id : entity.name;
}

function shown(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value);
}
