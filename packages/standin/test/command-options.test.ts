/*
Conversion of command line options to settings.
*/
import {getOptionName, parseSettings} from '../src/cli/command-options.ts';

test('converts the given options to the types of the defaults and leaves out the rest', () => {
	const defaults = {
		host: '', port: 0, id: 'engine', warmCapacity: 32, fences: true, warm: false,
	};
	const settings = parseSettings(defaults, {
		listen: '127.0.2.1:8000', id: 7, 'warm-capacity': 5, fences: 'false', warm: true, unknown: 1,
	});
	expect(settings).toEqual({
		host: '127.0.2.1', port: 8000, id: '7', warmCapacity: 5, fences: false, warm: true,
	});
	expect(getOptionName('betweenTokensMs')).toBe('between-tokens-ms');
});
