/*
Reads a YAML file and checks it against a schema. Every fault of the file comes back as a tagged result; nothing throws.
*/
import {readFile} from 'node:fs/promises';
import {isRecord} from '@shallotloom/core/entity-rules.ts';
import {parseDocument} from 'yaml';
import type {z} from 'zod';
import {problemsOf, type Problem} from './problems.ts';

/** Settings, or why the file doesn't give any. */
export type SettingsResult<Settings>
	= | {kind: 'ok'; settings: Settings}
	/** The file can't be read. */
		| {kind: 'unreadable'; problems: Problem[]}
	/** The file is not YAML. */
		| {kind: 'malformed'; problems: Problem[]}
	/** The values don't fit the schema. */
		| {kind: 'invalid'; problems: Problem[]};

/** Reads the file and checks it against the schema. */
export async function loadSettings<Schema extends z.ZodType>(schema: Schema, file: string): Promise<SettingsResult<z.output<Schema>>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		const code = isRecord(error) && typeof error.code === 'string' ? error.code : 'unknown error';
		return {kind: 'unreadable', problems: [{path: '', value: file, expected: `a file that can be read (${code})`}]};
	}

	return parseSettings(schema, text);
}

/** Checks the text of a settings file against the schema. */
export function parseSettings<Schema extends z.ZodType>(schema: Schema, text: string): SettingsResult<z.output<Schema>> {
	const document = parseDocument(text);
	if (document.errors.length > 0) {
		const problems = document.errors.map(error => ({path: '', value: firstLine(error.message), expected: 'YAML'}));
		return {kind: 'malformed', problems};
	}

	let input: unknown;
	try {
		input = document.toJS();
	} catch (error) {
		// Aliases that expand without end.
		return {kind: 'malformed', problems: [{path: '', value: firstLine(String(error)), expected: 'YAML'}]};
	}

	const parsed = schema.safeParse(input);
	return parsed.success
		? {kind: 'ok', settings: parsed.data}
		: {kind: 'invalid', problems: problemsOf(schema, input, parsed.error.issues)};
}

function firstLine(text: string): string {
	return text.split('\n', 1)[0]!;
}
