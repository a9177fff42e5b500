/*
Traverses a zod schema: finds the schema at a path and the options of an object. Problems use it to suggest the most
similar known key, and the settings page uses it to list every option with its default and description.
*/
import type {z} from 'zod';

/** Fields of zod's internal schema definition that the traversal reads. */
type SchemaDefinition = {
	type: string;
	innerType?: z.ZodType;
	in?: z.ZodType;
	element?: z.ZodType;
	shape?: Record<string, z.ZodType>;
	entries?: Record<string, string>;
	defaultValue?: unknown;
};

/** Returns zod's internal definition of a schema. */
export function getDefinition(schema: z.ZodType): SchemaDefinition {
	return schema.def;
}

/** Returns the schema inside defaults, optional wrappers and transforms. */
export function unwrap(schema: z.ZodType): z.ZodType {
	const {innerType, in: input} = getDefinition(schema);
	const inner = innerType ?? input;
	return inner === undefined ? schema : unwrap(inner);
}

/** Returns the options of an object schema by key; empty for other schemas. */
export function getOptions(schema: z.ZodType): Record<string, z.ZodType> {
	return getDefinition(unwrap(schema)).shape ?? {};
}

/** Finds the schema at a path; undefined when the schema has no such path. */
export function findSchema(schema: z.ZodType, path: readonly PropertyKey[]): z.ZodType | undefined {
	const [head, ...rest] = path;
	if (head === undefined) {
		return schema;
	}

	const next = typeof head === 'number' ? getDefinition(unwrap(schema)).element : getOptions(schema)[String(head)];
	return next === undefined ? undefined : findSchema(next, rest);
}
