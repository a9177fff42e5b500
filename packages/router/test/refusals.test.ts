import {call, type Call} from './support/caller.ts';
import {
	Pool, startDeployment, waitUntil, type Deployment,
} from './support/deployment.ts';

let deployment: Deployment;

beforeAll(async () => {
	deployment = await startDeployment();
});

afterEach(async () => {
	await deployment.reset();
});

afterAll(async () => {
	await deployment.stop();
});

const sendRequest = async (options: Call) => call(deployment.url, options);

async function countRuns(key: string): Promise<number> {
	const response = await fetch(`${deployment.serviceUrl}/standin/stats`);
	const {runs} = await response.json() as {runs: Record<string, number>};
	return runs[key] ?? 0;
}

test.each<[string, Call, number, string]>([
	['malformed JSON', {body: '{"model": '}, 400, 'malformed-body'],
	['missing messages', {body: '{"model": "engine"}'}, 400, 'malformed-body'],
	['a deadline that isn\'t a number', {deadlineMs: Number.NaN}, 400, 'malformed-body'],
	['a body over the limit', {body: 'x'.repeat(2001)}, 413, 'body-too-large'],
	['an unknown workspace key', {key: 'nobody'}, 401, 'unknown-workspace'],
	['an unknown model', {body: '{"model": "none", "messages": [{"role": "user", "content": "x"}]}'}, 404, 'unknown-pool'],
	['an unknown service', {path: '/v1/services/none/call/book'}, 404, 'unknown-pool'],
	['a deadline that has passed', {deadlineMs: 0}, 504, 'deadline-passed'],
	['a once call without a key', {once: ''}, 400, 'key-missing'],
])('%s is refused with a JSON body and the outcome not-run', async (_, options, status, kind) => {
	const reply = await sendRequest(options);
	expect(reply).toMatchObject({status, isTruncated: false, error: {kind, outcome: 'not-run'}});
	expect(reply.headers['content-type']).toContain('application/json');
	expect(typeof reply.error.message).toBe('string');
	expect(typeof reply.error.hint).toBe('string');
});

test('a target that refuses connections: refused as not run, with a retry-after delay', async () => {
	const reply = await sendRequest({pool: Pool.Absent, deadlineMs: 1500});
	expect(reply.error).toMatchObject({outcome: 'not-run'});
	expect(Number(reply.headers['retry-after'])).toBeGreaterThan(0);
});

test('once calls are each sent on a new connection, and a duplicate gets the first answer', async () => {
	const {scripted} = deployment;
	scripted.script(({answer, id}) => {
		answer(JSON.stringify({seat: id}));
	});
	const replies = [];
	for (const once of ['c1', 'c2', 'c2', 'c3']) {
		replies.push(await sendRequest({pool: Pool.ScriptedService, once}));
	}

	expect(scripted.calls).toHaveLength(3);
	expect(new Set(scripted.calls.map(({socket}) => socket)).size).toBe(3);
	expect(scripted.calls[0]!.request).toMatchObject({method: 'POST', url: '/call/book?seat=1', headers: {'idempotency-key': 'c1'}});
	expect(replies[2]!.text).toBe(replies[1]!.text);
	expect(replies.map(({status}) => status)).toEqual([200, 200, 200, 200]);
});

test.each<[string, Record<string, unknown>, Partial<Call>]>([
	['is lost', {loseAnswers: 1}, {}],
	['is cut', {truncate: 1}, {}],
	['is another request\'s', {crossAnswers: 1}, {}],
	['arrives after the deadline', {answerLateMs: 900}, {deadlineMs: 500}],
])('a once call whose answer %s is refused as unknown, and a later call with its key does not run again', async (name, faults, options) => {
	deployment.service.setFaults(faults);
	const once = `key ${name}`;
	const reply = await sendRequest({pool: Pool.Service, once, ...options});
	expect(reply.error.outcome).toBe('unknown');
	expect(await countRuns(once)).toBe(1);
	if (options.deadlineMs !== undefined) {
		await waitUntil('the end of the run', async () => deployment.router.world.requests.size === 0);
	}

	const again = await sendRequest({pool: Pool.Service, once});
	if (options.deadlineMs === undefined) {
		expect(again.error.outcome).toBe('unknown');
	} else {
		expect(again.status).toBe(200);
	}

	expect(await countRuns(once)).toBe(1);
});

test('simultaneous once calls with the same key run once and all get the answer', async () => {
	deployment.service.setFaults({answerLateMs: 200});
	const replies = await Promise.all(Array.from({length: 6}, async () => sendRequest({pool: Pool.Service, once: 'together'})));
	expect(await countRuns('together')).toBe(1);
	expect(new Set(replies.map(({text}) => text)).size).toBe(1);
	expect(replies.every(({status}) => status === 200)).toBe(true);
});

test('once calls while the platform is down are refused as not run with a Retry-After header, and nothing is sent', async () => {
	deployment.platform.setFaults({down: true});
	const reply = await sendRequest({pool: Pool.Service, once: 'down'});
	expect(reply).toMatchObject({status: 503, error: {kind: 'store-unavailable', outcome: 'not-run'}});
	expect(reply.headers['retry-after']).toBe('2');
	expect(await countRuns('down')).toBe(0);
	deployment.platform.clearFaults();
	const again = await sendRequest({pool: Pool.Service, once: 'down'});
	expect(again.status).toBe(200);
});

test('a caller that disconnects from a once call gets its answer when it retries', async () => {
	deployment.service.setFaults({answerLateMs: 300});
	const callerAbort = new AbortController();
	const reply = sendRequest({pool: Pool.Service, once: 'left', signal: callerAbort.signal});
	await waitUntil('the run', async () => await countRuns('left') === 1);
	callerAbort.abort();
	await reply;
	const again = await sendRequest({pool: Pool.Service, once: 'left'});
	expect(again.status).toBe(200);
	expect(JSON.parse(again.text)).toMatchObject({runs: 1});
	expect(await countRuns('left')).toBe(1);
});
