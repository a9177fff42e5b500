/*
Options of the command line as settings.
*/
import {optionName, settingsOf} from '../src/cli/command-options.ts';

test('takes what is given, in the type of the default', () => {
	const defaults = {
		host: '', port: 0, id: 'engine', warmCapacity: 32, fences: true, warm: false,
	};
	const settings = settingsOf(defaults, {
		listen: '127.0.2.1:8000', id: 7, 'warm-capacity': 5, fences: 'false', warm: true, unknown: 1,
	});
	expect(settings).toEqual({
		host: '127.0.2.1', port: 8000, id: '7', warmCapacity: 5, fences: false, warm: true,
	});
	expect(optionName('betweenTokensMs')).toBe('between-tokens-ms');
});
