/*
Finds an entity in a listing by its ID, and formats its fields.
*/
import {findNearestName} from '@shallotloom/settings/problems.ts';
import {createFailure, type Result} from './errors.ts';

/** Returns the entity with the ID, or an error with the most similar ID. */
export function findEntity<Entity extends {id: string}>(what: string, id: string, listing: Result<Entity[]>): Result<Entity> {
	if (listing.kind === 'failed') {
		return listing;
	}

	const entity = listing.value.find(candidate => candidate.id === id);
	const nearest = findNearestName(id, listing.value.map(candidate => candidate.id));
	return entity === undefined
		? createFailure({
			kind: 'unknownName', what, name: id, nearest,
		})
		: {kind: 'ok', value: entity};
}

/** Formats an entity with one line per field. */
export function formatFields(entity: object): string {
	const fields = Object.entries(entity);
	const width = Math.max(...fields.map(([name]) => name.length));
	return fields.map(([name, value]) => `${name.padEnd(width)}  ${formatValue(value)}`).join('\n');
}

const maxFractionDigits = 3;

function formatValue(value: unknown): string {
	return typeof value === 'number' ? String(Number(value.toFixed(maxFractionDigits))) : String(value);
}
