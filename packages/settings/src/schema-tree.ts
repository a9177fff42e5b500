/*
Walks a zod schema: the object or list under a path, its options with their defaults and descriptions. Messages use it
to name the nearest known key, and the settings page uses it to list every option.
*/
import type {z} from 'zod';

/** The parts of a schema's definition that the walk reads. */
type Definition = {
	type: string;
	innerType?: z.ZodType;
	in?: z.ZodType;
	element?: z.ZodType;
	shape?: Record<string, z.ZodType>;
	entries?: Record<string, string>;
	defaultValue?: unknown;
};

/** Definition of a schema as zod keeps it. */
export function definitionOf(schema: z.ZodType): Definition {
	return schema.def;
}

/** Strips defaults, optionality and transforms off a schema. */
export function unwrap(schema: z.ZodType): z.ZodType {
	const {innerType, in: input} = definitionOf(schema);
	const inner = innerType ?? input;
	return inner === undefined ? schema : unwrap(inner);
}

/** Options of an object schema by key; empty for other schemas. */
export function optionsOf(schema: z.ZodType): Record<string, z.ZodType> {
	return definitionOf(unwrap(schema)).shape ?? {};
}

/** Schema under a path, or undefined when the path leaves the schema. */
export function schemaAt(schema: z.ZodType, path: readonly PropertyKey[]): z.ZodType | undefined {
	const [head, ...rest] = path;
	if (head === undefined) {
		return schema;
	}

	const next = typeof head === 'number' ? definitionOf(unwrap(schema)).element : optionsOf(schema)[String(head)];
	return next === undefined ? undefined : schemaAt(next, rest);
}
