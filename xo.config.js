/*
XO's rules, with the few settings on which the project differs; docs/STYLE.md says why for each.
*/
/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['packages/protocol/src/gen/**', 'dist/**', '**/*.yaml', '**/*.yml', '**/*.md'],
	},
	{
		files: ['**/*.{ts,js}'],
		rules: {
			// Customary short names of the field.
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					id: true, ids: true, req: true, res: true, ctx: true, ms: true, args: true, env: true, params: true,
				},
			}],
			// Enum members and protocol names are PascalCase or snake_case by their source.
			'@typescript-eslint/naming-convention': 'off',
			// Systems change rows of the tables that they are handed.
			'no-param-reassign': 'off',
			// Requests of one stream are awaited in order.
			'no-await-in-loop': 'off',
			// Object API, protobuf and JSON fields may be null.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// `capitalized-comments` splits prose comments over several lines.
			'capitalized-comments': 'off',
			// A table of handlers is indexed by a tag that the type checker can't tie to its argument.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			'max-params': ['error', {max: 5}],
		},
	},
	{
		files: ['**/test/**/*.ts'],
		rules: {
			'@typescript-eslint/no-unsafe-assignment': 'off',
			'@typescript-eslint/no-unsafe-call': 'off',
			'max-nested-callbacks': 'off',
		},
	},
	{
		files: ['packages/core/**/*.ts'],
		rules: {
			// Decisions import nothing that does I/O.
			'no-restricted-imports': ['error', {patterns: ['node:*', 'undici', 'hono', 'hono/*', 'winston', '@connectrpc/*']}],
		},
	},
];

export default config;
