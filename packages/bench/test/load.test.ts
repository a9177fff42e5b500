import {createServer, type Server, type ServerResponse} from 'node:http';
import {startLoad} from '../src/load/load.ts';
import {Ending, isFailure} from '../src/load/record.ts';
import type {Arrival} from '../src/load/schedule.ts';

const workspaces = [{
	id: 'one', key: 'key', weight: 2, queueLimit: 1000,
}];

let server: Server | undefined;

afterEach(async () => {
	await new Promise(resolve => {
		server?.close(resolve);
	});
});

/** Answers each request with the next handler; the last one also answers all later requests. Returns the base URL. */
async function serve(...handlers: Array<(response: ServerResponse) => void>): Promise<string> {
	let count = 0;
	const created = createServer((_, response) => {
		handlers[Math.min(count++, handlers.length - 1)]?.(response);
	});
	server = created;
	await new Promise<void>(resolve => {
		created.listen(0, '127.0.0.1', resolve);
	});
	const address = created.address();
	return `http://127.0.0.1:${typeof address === 'object' ? address?.port : ''}`;
}

function answer(response: ServerResponse) {
	response.writeHead(200, {'content-type': 'text/event-stream'});
	response.write('id: 0\ndata: {"id":"a","choices":[{"delta":{"content":"x"}}]}\n\n');
	response.write('id: 1\ndata: {"id":"a","choices":[{"delta":{"content":"y"}}]}\n\n');
	response.end('data: [DONE]\n\n');
}

function refuse(response: ServerResponse) {
	response.writeHead(503, {'retry-after': '0'});
	response.end('{"error":{"kind":"no-capacity","outcome":"not-run"}}');
}

function arrivalAt(entry: string): Arrival {
	return {
		atMs: 0, workspace: 'one', entry, inputTokens: 30, outputTokens: 2, costHint: 2,
	};
}

async function runLoad(entry: string, {retries = 0, drainMs = 5000, durationMs = 100} = {}) {
	return startLoad({
		arrivals: [arrivalAt(entry)], durationMs, workspaces, retries, drainMs,
	}).finished;
}

test('a whole answer is recorded, and its tokens are counted by weight', async () => {
	// The series covers the duration of the load, so the answer has to arrive within it.
	const {records, series} = await runLoad(await serve(answer), {durationMs: 3000});
	expect(records[0]).toMatchObject({ending: Ending.Whole, outputTokens: 2, status: 200});
	expect(series.get('one').reduce((sum, service) => sum + service, 0)).toBe((30 + 2) / 2);
});

test('an answer that arrives after the duration of the load is recorded, but not part of its series', async () => {
	const {records, series} = await runLoad(await serve(response => {
		setTimeout(answer, 200, response);
	}));
	expect(records[0]).toMatchObject({ending: Ending.Whole, outputTokens: 2});
	expect(series.get('one').every(service => service === 0)).toBe(true);
});

test('a refusal with outcome not-run is retried', async () => {
	const {records} = await runLoad(await serve(refuse, answer), {retries: 1});
	expect(records[0]).toMatchObject({ending: Ending.Whole, attempts: 2});
});

test('a refusal that is not retried is recorded with its kind and outcome', async () => {
	const {records} = await runLoad(await serve(refuse));
	expect(records[0]).toMatchObject({ending: Ending.Refused, fault: 'no-capacity', outcome: 'not-run'});
	expect(records.filter(record => isFailure(record))).toHaveLength(1);
});

test('the load does not wait for a retry that is due after its end', async () => {
	const {records} = await runLoad(await serve(response => {
		response.writeHead(429, {'retry-after': '3600'});
		response.end('{"error":{"kind":"queue-full","outcome":"not-run"}}');
	}), {retries: 1, drainMs: 0});
	expect(records[0]).toMatchObject({ending: Ending.Unfinished});
});

test('a connection that breaks mid-answer is a failure', async () => {
	const {records} = await runLoad(await serve(response => {
		response.writeHead(200);
		response.write('id: 0\ndata: {"id":"a","choices":[]}\n\n', () => {
			response.destroy();
		});
	}));
	expect(records[0]).toMatchObject({ending: Ending.Broken});
});

test('an answer that never arrives is unfinished, not failed', async () => {
	const url = await serve(response => {
		response.writeHead(200);
		response.flushHeaders();
	});
	const {records} = await startLoad({arrivals: [arrivalAt(url)], durationMs: 50, workspaces}).finished;
	expect(records[0]).toMatchObject({ending: Ending.Unfinished});
	expect(records.filter(record => isFailure(record))).toHaveLength(0);
});
