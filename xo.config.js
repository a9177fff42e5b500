/*
XO's default rules and the project's few exceptions; docs/STYLE.md gives the reason for each.
*/
/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		ignores: ['packages/protocol/src/gen/**', 'dist/**', '**/*.yaml', '**/*.yml', '**/*.md'],
	},
	{
		files: ['**/*.{ts,js}'],
		rules: {
			// Abbreviations that are common in the field.
			'unicorn/prevent-abbreviations': ['error', {
				allowList: {
					id: true, ids: true, req: true, res: true, ctx: true, ms: true, args: true, env: true, params: true,
				},
			}],
			// Enum members and names from protocols are PascalCase or snake_case, depending on where they are defined.
			'@typescript-eslint/naming-convention': 'off',
			// Systems update the rows of the tables that they receive.
			'no-param-reassign': 'off',
			// Requests of one stream are awaited one after another.
			'no-await-in-loop': 'off',
			// Object API, protobuf and JSON fields may be null.
			'@typescript-eslint/no-restricted-types': 'off',
			'unicorn/no-null': 'off',
			// `capitalized-comments` splits prose comments over several lines.
			'capitalized-comments': 'off',
			// Lookup tables of handlers are indexed by a tag that the type checker can't relate to the argument of the handler.
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
			// The core makes decisions without I/O, so it must not import modules that do I/O.
			'no-restricted-imports': ['error', {patterns: ['node:*', 'undici', 'hono', 'hono/*', 'winston', '@connectrpc/*']}],
		},
	},
];

export default config;
