/*
Fake operators' listener of a router for tests: returns canned replies by method and path, and records the requests.
*/
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {text} from 'node:stream/consumers';

export type CannedReply = {status?: number; body: unknown};

export type FakeRouter = {
	url: string;
	/** Received requests, oldest first. */
	requests: Array<{path: string; key: string; body: unknown}>;
	/** Replies by `METHOD path`, without the query; 'hang-up' closes the connection without a response. */
	replies: Map<string, CannedReply | 'hang-up'>;
	close(): Promise<void>;
};

export async function startFakeRouter(): Promise<FakeRouter> {
	const requests: FakeRouter['requests'] = [];
	const replies: FakeRouter['replies'] = new Map();
	async function answer(req: IncomingMessage, res: ServerResponse) {
		const body = await text(req);
		const path = req.url!.replace('/operator/v1/', '');
		requests.push({path, key: req.headers.authorization ?? '', body: body === '' ? undefined : JSON.parse(body)});
		const reply = replies.get(`${req.method} ${path.split('?', 1)[0]}`) ?? {status: 404, body: 'no such path'};
		if (reply === 'hang-up') {
			res.destroy();
			return;
		}

		res.writeHead(reply.status ?? 200, {'content-type': 'application/json'});
		res.end(typeof reply.body === 'string' ? reply.body : JSON.stringify(reply.body));
	}

	const server = createServer((req, res) => {
		void answer(req, res);
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	const port = typeof address === 'object' ? address?.port : undefined;
	return {
		url: `http://127.0.0.1:${port}`,
		requests,
		replies,
		async close() {
			server.closeAllConnections();
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
