/*
Generates `docs/SETTINGS.md` from the schemas: every option with its type, default and description.
*/
import type {z} from 'zod';
import {releaseNoteSchema} from './release-note.ts';
import {routerSettingsSchema} from './router-settings.ts';
import {getDefinition, getOptions, unwrap} from './schema-tree.ts';

const introduction = `# Settings

This page is written from the schemas by \`npm run docs\`; change the schemas, not the page. Files are YAML. An unknown
option is refused, and the message names the nearest known one. Units are in the names; addresses are by IP number.
\`shallotloom-router --settings FILE --check-settings\` checks a file without starting anything.
`;

/** Returns the page as Markdown. */
export function createSettingsPage(): string {
	return [
		introduction,
		createSection('Router', 'The settings file of one router.', routerSettingsSchema),
		createSection('Release note', 'What `shallotloom release apply` sends: entities that are added, changed and withdrawn.', releaseNoteSchema),
	].join('\n');
}

function createSection(title: string, text: string, schema: z.ZodType): string {
	const rows = createRows(schema, '');
	return [`## ${title}`, '', text, '', '| Option | Type | Default | Meaning |', '|---|---|---|---|', ...rows, ''].join('\n');
}

function createRows(schema: z.ZodType, prefix: string): string[] {
	return Object.entries(getOptions(schema)).flatMap(([key, option]) => {
		const path = prefix + key;
		const cells = [`\`${path}\``, formatType(option), formatDefault(option), getDescription(option)];
		const {element} = getDefinition(unwrap(option));
		const nested = element === undefined ? createRows(option, `${path}.`) : createRows(element, `${path}[].`);
		return [`| ${cells.join(' | ')} |`, ...nested];
	});
}

type TypeFormatter = (schema: z.ZodType) => string;

const typeFormatters: Partial<Record<string, TypeFormatter>> = {
	object: () => 'mapping',
	array: () => 'list',
	number: () => 'number',
	string: () => 'string',
	boolean: () => '`true` or `false`',
	enum: schema => Object.values(getDefinition(schema).entries ?? {}).map(value => `\`${value}\``).join(', '),
};

function formatType(schema: z.ZodType): string {
	const inner = unwrap(schema);
	const {type} = getDefinition(inner);
	return typeFormatters[type]?.(inner) ?? type;
}

/** Returns the description of an option, or that of the schema that it wraps. */
function getDescription(schema: z.ZodType): string {
	const {innerType} = getDefinition(schema);
	return schema.description ?? (innerType === undefined ? '' : getDescription(innerType));
}

function formatDefault(schema: z.ZodType): string {
	const {type, defaultValue} = getDefinition(schema);
	const formattedDefaults: Partial<Record<string, string>> = {
		default: `\`${JSON.stringify(defaultValue)}\``,
		prefault: 'as below',
		optional: 'none',
	};
	return formattedDefaults[type] ?? 'required';
}
