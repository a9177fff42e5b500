/* eslint camelcase: "off" -- The platform's documents have such names. */
/*
Stand-in of a worker: answers requests as the pages say, with its own id, a seal and its load. What it runs is recorded.
*/
import {createServer} from 'node:http';

/**
Starts a worker.

@param run Answers a request that the worker runs: called with the request, its response, its record and the body.
*/
export async function startWorker({id, slots = 64, run}) {
	const records = [];
	let running = 0;
	const server = createServer((request, response) => {
		const chunks = [];
		request.on('data', chunk => {
			chunks.push(chunk);
		});
		request.on('end', () => {
			const requestId = request.headers['x-request-id'] ?? '';
			const expected = request.headers['x-expected-instance'];
			if (expected !== undefined && expected !== id) {
				response.writeHead(421, {'x-instance-id': id, 'x-request-id': requestId, 'content-length': 0}).end();
				return;
			}

			const record = {
				worker: id, requestId, url: request.url, startedAt: performance.now(), endedAt: undefined, end: undefined,
			};
			records.push(record);
			running += 1;
			response.once('close', () => {
				running -= 1;
				record.endedAt = performance.now();
				record.end = response.writableFinished ? 'answered' : 'channel ended first';
			});
			run({
				request, response, record, body: chunks.join(''), headers: {
					'x-request-id': requestId, 'x-response-seal': `seal-${id}-${requestId}`, 'x-server-load': `${running},0,${slots}`,
				},
			});
		});
	});
	server.keepAliveTimeout = 60_000;
	await new Promise(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return {
		id,
		address: `127.0.0.1:${server.address().port}`,
		records,
		async stop() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}

/** Entry of a worker in the platform's store. */
export function createEntry({address, service, zone = 'waco-a', slots = 64}) {
	return {
		service, address, zone, version: 'v1', slots, state: 'ready', cold_remaining_ms: 0, stage: 'unified', models: [{name: 'm', version: 1, adapters: []}], sequence: 4, born: Date.now(),
	};
}
