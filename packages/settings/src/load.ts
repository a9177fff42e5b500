/*
Loads a YAML file and validates it against a schema. Every fault in the file is returned as a tagged result; nothing throws.
*/
import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';
import {isRecord} from '@shallotloom/core/entity-rules.ts';
import {parseDocument} from 'yaml';
import type {z} from 'zod';
import {convertIssues, type Problem} from './problems.ts';

/** Settings of a file, or the problems that make it unusable. */
export type SettingsResult<Settings>
	= | {kind: 'ok'; settings: Settings}
	/** Reading the file failed. */
		| {kind: 'unreadable'; problems: Problem[]}
	/** The file is not valid YAML. */
		| {kind: 'malformed'; problems: Problem[]}
	/** The values violate the schema. */
		| {kind: 'invalid'; problems: Problem[]};

/** Reads the file and validates it against the schema. */
export async function loadSettings<Schema extends z.ZodType>(schema: Schema, file: string): Promise<SettingsResult<z.output<Schema>>> {
	let text: string;
	try {
		text = await readFile(file, 'utf8');
	} catch (error) {
		const code = isRecord(error) && typeof error.code === 'string' ? error.code : 'unknown error';
		return {kind: 'unreadable', problems: [{path: '', value: file, expected: `a readable file (${code})`}]};
	}

	return parseSettings(schema, text);
}

/** Interval between attempts to read a file that can't be used yet, in milliseconds. */
const retryMs = 200;

/** Time for which a file may be missing or incomplete at a start, since somebody may be writing it, in milliseconds. */
const incompleteMs = 2000;

/** Loads settings at a start: a file that can't be used is read again for a while. */
export async function awaitSettings<Settings>(load: () => Promise<SettingsResult<Settings>>): Promise<SettingsResult<Settings>> {
	const endsAt = performance.now() + incompleteMs;
	for (;;) {
		const result = await load();
		if (result.kind === 'ok' || performance.now() >= endsAt) {
			return result;
		}

		await sleep(retryMs);
	}
}

/** Validates the text of a settings file against the schema. */
export function parseSettings<Schema extends z.ZodType>(schema: Schema, text: string): SettingsResult<z.output<Schema>> {
	const document = parseDocument(text);
	if (document.errors.length > 0) {
		const problems = document.errors.map(error => ({path: '', value: getFirstLine(error.message), expected: 'valid YAML'}));
		return {kind: 'malformed', problems};
	}

	let input: unknown;
	try {
		input = document.toJS();
	} catch (error) {
		// The yaml library throws on aliases that expand without limit.
		return {kind: 'malformed', problems: [{path: '', value: getFirstLine(String(error)), expected: 'valid YAML'}]};
	}

	const parsed = schema.safeParse(input);
	return parsed.success
		? {kind: 'ok', settings: parsed.data}
		: {kind: 'invalid', problems: convertIssues(schema, input, parsed.error.issues)};
}

function getFirstLine(text: string): string {
	return text.split('\n', 1)[0]!;
}
