/*
Texts about releases: the entities that a note names, and how each of them differs before and after the release.
*/
import {entityKindNames, type EntityKind, type ReleaseNote} from '@shallotloom/core/release-note.ts';
import type {ConfigurationPart} from '@shallotloom/core/release.ts';

const singularNames: Record<EntityKind, string> = {
	workspaces: 'workspace',
	targets: 'target',
	failureDomains: 'failure domain',
};

/** Returns one line, such as `changed failure domain suva; withdrawn target engine-1`. */
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

	const names = entries.map(entry => typeof entry === 'string' ? entry : getName(entry));
	return `${section} ${singularNames[kind]}${names.length > 1 ? 's' : ''} ${truncateList(names).join(', ')}`;
}

/** Number of entries that a message lists; further ones are only counted. */
const maxListedEntries = 8;

/** Returns the first entries and, as last item, how many more there are. */
export function truncateList(entries: readonly string[]): string[] {
	const remaining = entries.length - maxListedEntries;
	// A single remaining entry is listed itself rather than counted.
	return remaining <= 1 ? [...entries] : [...entries.slice(0, maxListedEntries), `and ${remaining} more`];
}

/** Returns one line per entity, such as `failure domain suva: standing in -> out`. */
export function describeChanges(before: ConfigurationPart, after: ConfigurationPart): string {
	return entityKindNames.flatMap(kind => {
		const old = indexByName(before[kind]);
		const next = indexByName(after[kind]);
		return [...new Set([...old.keys(), ...next.keys()])].map(name =>
			`  ${singularNames[kind]} ${name}: ${describeEntityChange(old.get(name), next.get(name))}`);
	}).join('\n');
}

type Fields = Record<string, unknown>;

function describeEntityChange(before: Fields | undefined, after: Fields | undefined): string {
	if (before === undefined || after === undefined) {
		return before === undefined ? 'added' : 'withdrawn';
	}

	const fields = Object.keys(after).filter(field => JSON.stringify(before[field]) !== JSON.stringify(after[field]));
	return fields.length === 0
		? 'unchanged'
		: fields.map(field => field === 'keyHash' ? 'key changed' : `${field} ${formatValue(before[field])} -> ${formatValue(after[field])}`).join(', ');
}

function indexByName(entities: ReadonlyArray<{id: string} | {name: string}>): Map<string, Fields> {
	return new Map(entities.map(entity => [getName(entity), {...entity}]));
}

function getName(entity: {id: string} | {name: string}): string {
	return 'id' in entity ? entity.id : entity.name;
}

function formatValue(value: unknown): string {
	return typeof value === 'string' ? value : JSON.stringify(value);
}
