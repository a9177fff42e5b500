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

/** Serves each request with the next of the handlers, the last again and again. */
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

async function load(entry: string, retries = 0, drainMs = 5000) {
	return startLoad({
		arrivals: [arrivalAt(entry)], durationMs: 100, workspaces, retries, drainMs,
	}).finished;
}

test('a whole answer is recorded, and its tokens are counted by weight', async () => {
	const {records, series} = await load(await serve(answer));
	expect(records[0]).toMatchObject({ending: Ending.Whole, outputTokens: 2, status: 200});
	expect(series.get('one').reduce((sum, service) => sum + service, 0)).toBe((30 + 2) / 2);
});

test('a refusal that was not run is followed by a retry', async () => {
	const {records} = await load(await serve(refuse, answer), 1);
	expect(records[0]).toMatchObject({ending: Ending.Whole, attempts: 2});
});

test('a refusal without a retry keeps its kind and outcome', async () => {
	const {records} = await load(await serve(refuse));
	expect(records[0]).toMatchObject({ending: Ending.Refused, fault: 'no-capacity', outcome: 'not-run'});
	expect(records.filter(record => isFailure(record))).toHaveLength(1);
});

test('a retry that is due after the end of the load is not waited for', async () => {
	const {records} = await load(await serve(response => {
		response.writeHead(429, {'retry-after': '3600'});
		response.end('{"error":{"kind":"queue-full","outcome":"not-run"}}');
	}), 1, 0);
	expect(records[0]).toMatchObject({ending: Ending.Unfinished});
});

test('a connection that breaks mid-answer is a failure', async () => {
	const {records} = await load(await serve(response => {
		response.writeHead(200);
		response.write('id: 0\ndata: {"id":"a","choices":[]}\n\n', () => {
			response.destroy();
		});
	}));
	expect(records[0]).toMatchObject({ending: Ending.Broken});
});

test('an answer that never comes is unfinished, not failed', async () => {
	const url = await serve(response => {
		response.writeHead(200);
		response.flushHeaders();
	});
	const {records} = await startLoad({arrivals: [arrivalAt(url)], durationMs: 50, workspaces}).finished;
	expect(records[0]).toMatchObject({ending: Ending.Unfinished});
	expect(records.filter(record => isFailure(record))).toHaveLength(0);
});
