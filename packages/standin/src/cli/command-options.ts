/*
Converts the options of a command line to the settings of a stand-in.
*/
import {parseAddress} from '../relay.ts';

/** Options as parsed from the command line, by name in kebab case. */
export type CommandOptions = Record<string, string | number | boolean | undefined>;

/** Settings without an option of their own: they come from `--listen` or over the control paths. */
const settingsWithoutOption = new Set(['host', 'port', 'domains', 'delayMs']);

/** Whether a setting has an option of its own. */
export function hasOption(name: string): boolean {
	return !settingsWithoutOption.has(name);
}

/** Settings that the command line gives; the others are left out, so that they keep their defaults. */
export function parseSettings(defaults: object, options: CommandOptions): object {
	const settings: Record<string, unknown> = {...parseAddress(String(options.listen))};
	for (const [name, fallback] of Object.entries(defaults)) {
		const value = options[getOptionName(name)];
		if (hasOption(name) && value !== undefined) {
			settings[name] = convertToTypeOf(fallback, value);
		}
	}

	return settings;
}

/** Corrects the types that the option parser inferred: it parses `--id 7` as a number and `--fences false` as a string. */
function convertToTypeOf(fallback: unknown, value: string | number | boolean) {
	if (typeof fallback === 'boolean') {
		return String(value) === 'true';
	}

	return typeof fallback === 'string' ? String(value) : value;
}

/** Name of a setting in kebab case: `warmCapacity` is `--warm-capacity` on the command line. */
export function getOptionName(name: string): string {
	return [...name].map(letter => letter === letter.toLowerCase() ? letter : `-${letter.toLowerCase()}`).join('');
}
