/*
Turns the options of a command line into the settings of a stand-in.
*/
import {addressOf} from '../relay.ts';

/** Options as the command line gives them: by name, with dashes. */
export type CommandOptions = Record<string, string | number | boolean | undefined>;

/** Names that come from `--listen` or from control, not from an own option. */
const namesWithoutOption = new Set(['host', 'port', 'domains', 'delayMs']);

/** Whether a setting can be given on the command line. */
export function hasOption(name: string): boolean {
	return !namesWithoutOption.has(name);
}

/** Settings that the command line gives: what it leaves out keeps its default. */
export function settingsOf(defaults: object, options: CommandOptions): object {
	const settings: Record<string, unknown> = {...addressOf(String(options.listen))};
	for (const [name, fallback] of Object.entries(defaults)) {
		const given = options[optionName(name)];
		if (hasOption(name) && given !== undefined) {
			settings[name] = valueLike(fallback, given);
		}
	}

	return settings;
}

/** The command line reads `--id 7` as a number and `--fences false` as a text. */
function valueLike(fallback: unknown, given: string | number | boolean) {
	if (typeof fallback === 'boolean') {
		return String(given) === 'true';
	}

	return typeof fallback === 'string' ? String(given) : given;
}

/** `warmCapacity` is `--warm-capacity` on the command line. */
export function optionName(name: string): string {
	return [...name].map(letter => letter === letter.toLowerCase() ? letter : `-${letter.toLowerCase()}`).join('');
}
