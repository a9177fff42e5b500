import {PassThrough} from 'node:stream';
import {LogPart} from '@shallotloom/core/ports.ts';
import {createLog, AdapterPart, type LogLine} from '../src/log.ts';
import {redact} from '../src/redaction.ts';

async function writeLines(outputFormat: 'json' | 'text', ...lines: LogLine[]): Promise<string> {
	const destination = new PassThrough({encoding: 'utf8'});
	const log = createLog({format: outputFormat, destination});
	for (const line of lines) {
		log.write(line);
	}

	await log.close();
	return String(destination.read());
}

test('a text line has time, level, part and request', async () => {
	const text = await writeLines('text', {
		part: LogPart.Lease, level: 'info', text: 'renewed', request: 'suva-1.7',
	});
	expect(text).toMatch(/^\d\d:\d\d:\d\d info \[lease\] renewed \(suva-1\.7\)\n$/v);
});

test('a JSON line has the same fields; lines below the level are dropped', async () => {
	const text = await writeLines(
		'json',
		{part: AdapterPart.Platform, level: 'debug', text: 'called'},
		{part: AdapterPart.Platform, level: 'warn', text: 'no answer'},
	);
	expect(JSON.parse(text)).toEqual({
		at: expect.any(String), level: 'warn', part: 'platform', text: 'no answer',
	});
});

test('a line break can\'t forge a line', async () => {
	const text = await writeLines('text', {part: AdapterPart.Callers, level: 'warn', text: 'bad path "a\n12:00:00 info [lease] renewed"'});
	expect(text.trimEnd().split('\n')).toHaveLength(1);
});

test.each([
	'authorization: Bearer s3cret-value',
	'Authorization: s3cret-value',
	'{"key":"s3cret-value","id":"ba"}',
	String.raw`{"key": "s3cret-value with \" spaces"}`,
	'workspace-key=s3cret-value',
	'x-api-key: s3cret-value',
	'password: \'s3cret-value\'',
	'retry with bearer s3cret-value, then stop',
])('no key is written: %s', async text => {
	expect(redact(text)).not.toContain('s3cret-value');
	expect(redact(text)).not.toContain('spaces');
	expect(await writeLines('json', {part: AdapterPart.Callers, level: 'error', text})).not.toContain('s3cret-value');
});

test('a text without keys is unchanged', () => {
	const text = 'lease lease/suva-1 renewed at version 7, key space of 3 targets';
	expect(redact(text)).toBe(text);
});

test('a field can\'t overwrite a standard key of the line', async () => {
	const line = await writeLines('json', {
		part: AdapterPart.Callers, level: 'warn', text: 'refused', request: 'r1', fields: {level: 500, at: 'desk', reason: 'full'},
	});
	const parsed = JSON.parse(line) as Record<string, unknown>;
	expect(parsed).toMatchObject({
		level: 'warn', text: 'refused', request: 'r1', reason: 'full',
	});
	expect(parsed.at).not.toBe('desk');
});
