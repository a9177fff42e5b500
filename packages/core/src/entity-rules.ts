/*
Validation rules for the fields of workspaces, targets and failure domains. The same rules check a release note that an
operator sends, the resulting configuration, and stored forms read from the Object API.
*/
import {
	Standing, TargetKind, type FailureDomain, type Target, type Workspace,
} from './configuration.ts';

/** Validation of one field, with a description of valid values for error messages. */
export type FieldRule = {
	accepts: (value: unknown) => boolean;
	expected: string;
};

/** Rules of an entity by field. */
export type EntityRules<Entity> = Record<keyof Entity & string, FieldRule>;

/** A value that breaks a rule; `value` is undefined when the field is missing. */
export type Violation = {
	/** For example `added.targets[0].warmBudget`. */
	path: string;
	value: unknown;
	expected: string;
};

const namePattern = /^[a-z\d][\w.\-]{0,62}$/iv;
const poolPattern = /^[a-z\d][\w.:\/\-]{0,126}$/iv;
const keyHashPattern = /^[\da-f]{64}$/v;
const addressPattern = /^https?:\/\/(?:(?:\d{1,3}\.){3}\d{1,3}|\[[\da-f:]+\])(?::\d{1,5})?$/v;

const name: FieldRule = {
	accepts: value => typeof value === 'string' && namePattern.test(value),
	expected: 'a name of up to 63 letters, digits, ".", "_" and "-"',
};
const positive: FieldRule = {
	accepts: value => typeof value === 'number' && Number.isFinite(value) && value > 0,
	expected: 'a number above 0',
};
const count: FieldRule = {
	accepts: value => typeof value === 'number' && Number.isSafeInteger(value) && value > 0,
	expected: 'a whole number above 0',
};
const keyHash: FieldRule = {
	accepts: value => typeof value === 'string' && keyHashPattern.test(value),
	expected: 'a SHA-256 hash of 64 hex digits in lower case',
};
const address: FieldRule = {
	accepts: value => typeof value === 'string' && addressPattern.test(value),
	expected: 'a URL by IP number without a path, such as http://127.0.1.1:9100',
};
const pools: FieldRule = {
	accepts: value => Array.isArray(value) && value.length > 0 && new Set(value).size === value.length
		&& value.every(pool => typeof pool === 'string' && poolPattern.test(pool)),
	expected: 'one or more names of models or services, each once',
};
const flag: FieldRule = {
	accepts: value => typeof value === 'boolean',
	expected: 'true or false',
};

function createEnumRule(members: Record<string, string>): FieldRule {
	const values: unknown[] = Object.values(members);
	return {
		accepts: value => values.includes(value),
		expected: values.map(value => `"${String(value)}"`).join(' or '),
	};
}

export const workspaceRules: EntityRules<Workspace> = {
	id: name, weight: positive, keyHash, queueLimit: positive,
};

export const targetRules: EntityRules<Target> = {
	id: name,
	url: address,
	kind: createEnumRule(TargetKind),
	failureDomain: name,
	pools,
	warmBudget: count,
	coldBudget: count,
	standing: createEnumRule(Standing),
	fences: flag,
};

export const failureDomainRules: EntityRules<FailureDomain> = {
	name, standing: createEnumRule(Standing),
};

/** Whether a value is an object and not an array. */
export function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null && !Array.isArray(value);
}

/** Returns the rule violations of an entity; fields named in `optional` may be missing. */
export function checkEntity<Entity>(rules: EntityRules<Entity>, entity: unknown, path: string, optional: readonly string[] = []): Violation[] {
	if (!isRecord(entity)) {
		return [{path, value: entity, expected: 'an object'}];
	}

	const table = rules as Record<string, FieldRule>;
	const unknownFields = Object.keys(entity).filter(field => !Object.hasOwn(table, field));
	const violations = unknownFields.map(field => ({
		path: `${path}.${field}`, value: entity[field], expected: `no such field; known are ${Object.keys(table).join(', ')}`,
	}));
	for (const [field, rule] of Object.entries(table)) {
		const value = entity[field];
		const isAllowedToBeMissing = value === undefined && optional.includes(field);
		if (!isAllowedToBeMissing && !rule.accepts(value)) {
			violations.push({path: `${path}.${field}`, value, expected: rule.expected});
		}
	}

	return violations;
}
