import {SendEnd} from '../../src/gateway/ports.ts';
import {TargetStanding} from '../../src/gateway/rows.ts';
import {
	createBench, createDigestFrom, createListedTarget, filterByKind, type Bench,
} from '../support/gateways.ts';

const slots = 100;
const twoTargets = [createListedTarget('t1', {slots}), createListedTarget('t2', {slots})];

function getSentTargets(bench: Bench, calls = 6) {
	return new Set(Array.from({length: calls}, () => filterByKind(bench.call({}), 'send')[0]?.target));
}

describe('a target that says that it is leaving', () => {
	test('gets no new work, whatever the platform lists of that process', () => {
		const bench = createBench({targets: twoTargets});
		bench.step({kind: 'targetLeaving', target: 't1', startId: '1'});
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
		bench.step({kind: 'targets', targets: [createListedTarget('t1', {revision: 5}), createListedTarget('t2', {slots})]});
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
		bench.step({kind: 'platformReach', isReached: false});
		bench.wait(5000);
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
	});

	test('gets none after its entry was removed and listed again', () => {
		const bench = createBench({targets: twoTargets});
		bench.step({kind: 'targetLeaving', target: 't1', startId: '1'});
		bench.step({kind: 'targets', targets: [createListedTarget('t2', {slots})]});
		bench.step({kind: 'targets', targets: twoTargets});
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
	});

	test('gets none when its answer arrives after its entry was removed', () => {
		const bench = createBench({targets: twoTargets});
		bench.step({kind: 'targets', targets: [createListedTarget('t2', {slots})]});
		bench.step({kind: 'targetLeaving', target: 't1', startId: '1'});
		bench.step({kind: 'targets', targets: twoTargets});
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
	});

	test('is used again as a new process under its id; a late answer of the old one changes nothing', () => {
		const bench = createBench({targets: [createListedTarget('t1')]});
		bench.step({kind: 'targetLeaving', target: 't1', startId: '1'});
		expect(getSentTargets(bench)).toEqual(new Set([undefined]));
		bench.step({kind: 'targets', targets: [createListedTarget('t1', {startId: '2', revision: 2})]});
		bench.step({kind: 'targetLeaving', target: 't1', startId: '1'});
		expect(getSentTargets(bench)).toEqual(new Set(['t1']));
	});

	test('is reported to the other instances, which send it nothing more', () => {
		const bench = createBench({targets: twoTargets, instances: ['self', 'other']});
		bench.step({kind: 'targetLeaving', target: 't1', startId: '1'});
		const [message] = filterByKind(bench.wait(500), 'sendDigest');
		expect(message!.digest.targets).toMatchObject([{target: 't1', leavingStartId: '1'}]);
		const other = createBench({targets: twoTargets, instances: ['other', 'self']});
		other.step(createDigestFrom('self', {targets: message!.digest.targets}));
		expect(other.gateway.targets.get('t1')!.standing).toBe(TargetStanding.Leaving);
		expect(getSentTargets(other)).toEqual(new Set(['t2']));
	});

	test('a report of another process of a target changes nothing', () => {
		const bench = createBench({targets: twoTargets, instances: ['self', 'other']});
		bench.step(createDigestFrom('other', {
			targets: [{
				target: 't1', running: 0, coldForMs: 0, leavingStartId: '0',
			}],
		}));
		expect(getSentTargets(bench)).toContain('t1');
	});
});

describe('a target that requests a pause', () => {
	function pause(bench: Bench, pauseMs: number) {
		bench.step({
			kind: 'targetPause', target: 't1', startId: '1', pauseMs,
		});
	}

	test('gets no request until its end, though all others are set aside', () => {
		const bench = createBench({targets: twoTargets});
		pause(bench, 2000);
		bench.gateway.targets.get('t2')!.setAsideUntil = bench.gateway.now + 60_000;
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
		bench.wait(1990);
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
		bench.wait(20);
		expect(getSentTargets(bench)).toEqual(new Set(['t1']));
	});

	test('gets no repeat of a call that another target failed', () => {
		const bench = createBench({targets: twoTargets});
		pause(bench, 2000);
		const [send] = filterByKind(bench.call({}), 'send');
		const outbox = bench.step({
			kind: 'sendEnded', call: send!.call, send: send!.send, end: SendEnd.Refused, load: undefined, detail: '',
		});
		expect(filterByKind(outbox, 'send')).toEqual([]);
		expect(filterByKind(outbox, 'refuse')[0]!.refusal).toMatchObject({outcome: 'not-run'});
	});

	test('keeps its pause through a new list, a removal, and a shorter pause', () => {
		const bench = createBench({targets: twoTargets});
		pause(bench, 2000);
		pause(bench, 100);
		bench.step({kind: 'targets', targets: [createListedTarget('t2', {slots})]});
		bench.step({kind: 'targets', targets: [createListedTarget('t1', {revision: 3}), createListedTarget('t2', {slots})]});
		bench.wait(1900);
		expect(getSentTargets(bench)).toEqual(new Set(['t2']));
	});

	test('is asked again after the longest pause, however long it requested', () => {
		const bench = createBench({targets: [createListedTarget('t1')]});
		pause(bench, 1e12);
		bench.wait(59_000);
		expect(getSentTargets(bench)).toEqual(new Set([undefined]));
		bench.wait(1100);
		expect(getSentTargets(bench)).toEqual(new Set(['t1']));
	});

	test('a call is refused at once while all targets pause, until the first pause ends', () => {
		const bench = createBench({targets: [createListedTarget('t1')]});
		pause(bench, 700);
		const [refusal] = filterByKind(bench.call({}), 'refuse');
		expect(refusal!.refusal).toMatchObject({outcome: 'not-run', retryAfterMs: 700});
	});
});
