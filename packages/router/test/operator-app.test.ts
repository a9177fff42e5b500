import {Standing} from '@shallotloom/core/configuration.ts';
import type {ReleaseAnswer} from '@shallotloom/core/ports.ts';
import {createWorld} from '@shallotloom/core/world.ts';
import {hashKey} from '../src/callers/keys.ts';
import {createOperatorApp, type OperatorAppOptions} from '../src/operators/app.ts';

const key = 'key-of-the-duty-operator';
const world = createWorld({
	self: {
		id: 'suva-1', incarnation: 'a', failureDomain: 'suva', callerUrl: 'http://127.0.2.1:8080', peerUrl: 'http://127.0.2.1:8081',
	},
	seed: 1,
	now: 0,
});
let proposed: Parameters<OperatorAppOptions['propose']>[0] | undefined;
let answer: ReleaseAnswer;
const faults: string[] = [];

const app = createOperatorApp({
	world,
	operators: [{name: 'duty', keyHash: hashKey(key)}],
	async propose(proposal) {
		proposed = proposal;
		return answer;
	},
	checkNote: () => ({revision: 0, problems: []}),
	listReleases: async () => [],
	async scrapeMetrics() {
		throw new Error('disk on fire, key: s3cret-value');
	},
	onInternalError(error) {
		faults.push(error.message);
	},
});

beforeEach(() => {
	proposed = undefined;
	answer = {kind: 'accepted', revision: 7};
});

async function post(body: string) {
	return app.request('/operator/v1/releases', {method: 'POST', headers: {authorization: `Bearer ${key}`}, body});
}

test.each([undefined, 'Bearer another-key-of-16', key, `Basic ${key}`])('authorization %j is refused', async authorization => {
	const response = await app.request('/operator/v1/status', {...(authorization !== undefined && {headers: {authorization}})});
	expect(response.status).toBe(401);
	const text = await response.text();
	expect(JSON.parse(text)).toMatchObject({error: {kind: 'unauthorized', hint: expect.any(String)}});
	expect(text).not.toMatch(/another-key|key-of-the-duty/v);
});

test.each([
	['domain out', 'domain out'], ['target drain', 'target drain'], ['reboot', 'release apply'], [undefined, 'release apply'],
])('action %j is audited as %j', async (action, audited) => {
	const response = await post(JSON.stringify({note: {}, reason: 'works', action}));
	expect(await response.json()).toEqual({revision: 7});
	expect(proposed).toMatchObject({operator: 'duty', action: audited, reason: 'works'});
});

test.each(['{', '[]', '"note"', '{"reason": "works"}'])('body %s is refused as malformed and not proposed', async body => {
	const response = await post(body);
	expect(response.status).toBe(400);
	expect(proposed).toBeUndefined();
});

test.each<[ReleaseAnswer, number]>([
	[{kind: 'superseded', revision: 9, audit: undefined}, 409],
	[{kind: 'invalid', problems: []}, 422],
	[{kind: 'unavailable'}, 503],
])('%j answers with status %d', async (given, status) => {
	answer = given;
	const response = await post('{"note": {}}');
	expect(response.status).toBe(status);
	expect(await response.json()).toMatchObject({error: {kind: given.kind, hint: expect.any(String)}});
});

test('an internal error is passed to the log and not sent to the client', async () => {
	const response = await app.request('/metrics');
	expect(response.status).toBe(500);
	expect(await response.text()).not.toContain('fire');
	expect(faults).toEqual([expect.stringContaining('fire')]);
});

test('failure domains are listed with their standing', async () => {
	world.configuration.failureDomains.set('suva', {name: 'suva', standing: Standing.Out});
	const response = await app.request('/operator/v1/domains', {headers: {authorization: `Bearer ${key}`}});
	expect(await response.json()).toEqual([{
		name: 'suva', standing: 'out', routers: expect.any(Number), targets: 0, owned: 0,
	}]);
});
