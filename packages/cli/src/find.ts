/*
Finds one entity of a listing by its id, and shows its fields.
*/
import {findNearestName} from '@shallotloom/settings/problems.ts';
import {failed, type Result} from './errors.ts';

/** The entity of that id, or an error that names the nearest one. */
export function findNamed<Entity extends {id: string}>(what: string, id: string, listing: Result<Entity[]>): Result<Entity> {
	if (listing.kind === 'failed') {
		return listing;
	}

	const entity = listing.value.find(candidate => candidate.id === id);
	const nearest = findNearestName(id, listing.value.map(candidate => candidate.id));
	return entity === undefined
		? failed({
			kind: 'unknownName', what, name: id, nearest,
		})
		: {kind: 'ok', value: entity};
}

/** One line a field. */
export function fieldsText(entity: object): string {
	const fields = Object.entries(entity);
	const width = Math.max(...fields.map(([name]) => name.length));
	return fields.map(([name, value]) => `${name.padEnd(width)}  ${valueText(value)}`).join('\n');
}

/** Digits after the point of a number. */
const shownDigits = 3;

function valueText(value: unknown): string {
	return typeof value === 'number' ? String(Number(value.toFixed(shownDigits))) : String(value);
}
