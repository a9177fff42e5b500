/*
Writes `docs/SETTINGS.md` from the schemas: every option with its type, default and meaning.
*/
import type {z} from 'zod';
import {releaseNoteSchema} from './release-note.ts';
import {routerSettingsSchema} from './router-settings.ts';
import {definitionOf, optionsOf, unwrap} from './schema-tree.ts';

const introduction = `# Settings

This page is written from the schemas by \`npm run docs\`; change the schemas, not the page. Files are YAML. An unknown
option is refused, and the message names the nearest known one. Units are in the names; addresses are by IP number.
\`shallotloom-router --settings FILE --check-settings\` checks a file without starting anything.
`;

/** Text of the page. */
export function settingsPage(): string {
	return [
		introduction,
		section('Router', 'The settings file of one router.', routerSettingsSchema),
		section('Release note', 'What `shallotloom release apply` sends: entities that are added, changed and withdrawn.', releaseNoteSchema),
	].join('\n');
}

function section(title: string, text: string, schema: z.ZodType): string {
	const rows = rowsOf(schema, '');
	return [`## ${title}`, '', text, '', '| Option | Type | Default | Meaning |', '|---|---|---|---|', ...rows, ''].join('\n');
}

function rowsOf(schema: z.ZodType, prefix: string): string[] {
	return Object.entries(optionsOf(schema)).flatMap(([key, option]) => {
		const path = prefix + key;
		const cells = [`\`${path}\``, typeOf(option), defaultOf(option), meaningOf(option)];
		const {element} = definitionOf(unwrap(option));
		const nested = element === undefined ? rowsOf(option, `${path}.`) : rowsOf(element, `${path}[].`);
		return [`| ${cells.join(' | ')} |`, ...nested];
	});
}

type TypeText = (schema: z.ZodType) => string;

const typeTexts: Partial<Record<string, TypeText>> = {
	object: () => 'mapping',
	array: () => 'list',
	number: () => 'number',
	string: () => 'string',
	boolean: () => '`true` or `false`',
	enum: schema => Object.values(definitionOf(schema).entries ?? {}).map(value => `\`${value}\``).join(', '),
};

function typeOf(schema: z.ZodType): string {
	const inner = unwrap(schema);
	const {type} = definitionOf(inner);
	return typeTexts[type]?.(inner) ?? type;
}

/** Description of an option, or that of the schema that it wraps. */
function meaningOf(schema: z.ZodType): string {
	const {innerType} = definitionOf(schema);
	return schema.description ?? (innerType === undefined ? '' : meaningOf(innerType));
}

function defaultOf(schema: z.ZodType): string {
	const {type, defaultValue} = definitionOf(schema);
	const texts: Partial<Record<string, string>> = {
		default: `\`${JSON.stringify(defaultValue)}\``,
		prefault: 'as below',
		optional: 'none',
	};
	return texts[type] ?? 'required';
}
