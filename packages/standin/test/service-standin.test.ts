/*
The service stand-in: runs are counted by idempotency key, including runs whose answer is lost.
*/
import {createServiceStandin} from '../src/service-standin.ts';

async function getStats(url: string): Promise<unknown> {
	const response = await fetch(`${url}/standin/stats`);
	return response.json();
}

test('counts runs by idempotency key, including calls whose answer is lost or truncated', async () => {
	const service = createServiceStandin({id: 's1', serviceMs: 1, warm: true});
	const {url} = await service.start();
	const call = async () => fetch(`${url}/call/seats`, {
		method: 'POST', headers: {'idempotency-key': 'seat-1', 'x-request-id': 'r1'}, body: 'confirm',
	});

	service.setFaults({loseAnswers: 1});
	await expect(call()).rejects.toThrow();
	const second = await call();
	expect(second.headers.get('x-request-id')).toBe('r1');
	expect(await second.json()).toEqual({
		target: 's1', request: 'r1', runs: 2, echo: 'confirm',
	});
	service.setFaults({truncate: 1});
	const cut = await call();
	await expect(cut.text()).rejects.toThrow();
	const stats = await getStats(url);
	expect(stats).toMatchObject({runs: {'seat-1': 3}, running: 0, ends: {complete: 3}});
	await service.stop();
});

test('crashes when a cold service gets more calls than its cold capacity', async () => {
	const service = createServiceStandin({serviceMs: 200, coldCapacity: 1});
	const {url} = await service.start();
	const call = async () => fetch(`${url}/call/a`, {method: 'POST'});
	const results = await Promise.allSettled([call(), call()]);
	expect(results.map(({status}) => status)).toEqual(['rejected', 'rejected']);
	const stats = await getStats(url);
	expect(stats).toMatchObject({coldOverruns: 1, running: 0});
	await service.stop();
});
