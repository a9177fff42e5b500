/** @type {import('jest').Config} */
const config = {
	testEnvironment: 'node',
	testMatch: ['<rootDir>/packages/*/test/**/*.test.ts', '<rootDir>/platform/test/**/*.test.ts'],
	transform: {
		'\\.ts$': ['@swc/jest', {
			jsc: {parser: {syntax: 'typescript'}, target: 'es2022'},
			module: {type: 'commonjs'},
		}],
	},
	maxWorkers: 4,
	testTimeout: 30_000,
};

export default config;
