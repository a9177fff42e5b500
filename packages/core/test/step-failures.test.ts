import {RefusalKind, Outcome} from '../src/refusal.ts';
import {step, type StepFailure} from '../src/step.ts';
import {createRunningFleet} from './support/calls.ts';

function throwFault(): never {
	throw new Error('fault');
}

const fields = {
	workspace: 'w', pool: 'm', inputTokens: 1, costHint: 0, prefixHash: 0, once: false, idempotencyKey: '',
};

const faultyRequest = {
	id: 'bad',
	...fields,
	get deadline() {
		return throwFault();
	},
};

test('an event that cannot be handled is dropped, its request refused, and the others are handled', () => {
	const fleet = createRunningFleet();
	const world = fleet.worlds.get('a')!;
	const failures: StepFailure[] = [];
	const request = {id: 'good', ...fields, deadline: fleet.now + 5000};
	const outbox = step(world, fleet.now + 1, [{kind: 'callerRequest', request: faultyRequest}, {kind: 'callerRequest', request}], failure => {
		failures.push(failure);
	});
	expect(failures).toMatchObject([{part: 'callerRequest', error: {message: 'fault'}}]);
	expect(outbox).toContainEqual({kind: 'refuse', request: 'bad', refusal: {kind: RefusalKind.InternalError, outcome: Outcome.NotRun, detail: ''}});
	expect(world.requests.has('good')).toBe(true);
	expect(world.stopRequestedAt).toBeUndefined();
	expect(() => step(world, fleet.now + 2, [{kind: 'callerRequest', request: faultyRequest}])).toThrow('fault');
});

test('a system that throws leads to a planned stop, while the others run on', () => {
	const fleet = createRunningFleet();
	const world = fleet.worlds.get('a')!;
	const failures: StepFailure[] = [];
	Object.defineProperty(world, 'routesSource', {get: throwFault});
	step(world, fleet.now + 1, [], failure => {
		failures.push(failure);
	});
	expect(failures).toMatchObject([{part: 'routesSystem'}]);
	expect(world.stopRequestedAt).toBe(fleet.now + 1);
	const outbox = step(world, fleet.now + 100, [], () => {
		// The fault stays.
	});
	expect(outbox.some(item => item.kind === 'send' && item.message.kind === 'targetHandover')).toBe(true);
});
